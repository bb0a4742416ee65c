package simulator

import (
	"slices"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// newShortRequest draws a request with a short prompt, which shares no prefix, and
// its output tokens.
func (f *Fleet) newShortRequest() (placer.Request, int) {
	outputTokens := minShortOutputTokens + int(f.random.ExpFloat64()*meanExtraShortOutputTokens)
	promptTokens := min(maxShortPromptTokens, minShortPromptTokens+int(f.random.ExpFloat64()*meanExtraShortPromptTokens))

	return placer.Request{Service: serviceName, PromptTokens: promptTokens, OutputTokens: outputTokens, CanCopyCache: true, TargetTimeToFirstToken: shortFirstTokenTarget}, outputTokens
}

// newLongRequest draws a request with a long prompt of a random prefix group, and its
// output tokens. The given fraction of requests belongs to group 1 instead.
func (f *Fleet) newLongRequest(hotGroupFraction float64) (placer.Request, int) {
	prefixGroup := uint64(1 + f.random.IntN(f.size.PrefixGroups))
	suffixTokens := minLongSuffixTokens + int(f.random.ExpFloat64()*meanExtraLongSuffixTokens)
	if hotGroupFraction > 0 && f.random.Float64() < hotGroupFraction {
		prefixGroup = 1
	}

	return placer.Request{
		Service: serviceName, PromptTokens: sharedPrefixTokens + suffixTokens, OutputTokens: longOutputTokens, CanCopyCache: true, TargetTimeToFirstToken: longFirstTokenTarget,
		Blocks: []placer.PromptBlock{{ID: prefixGroup, Tokens: sharedPrefixTokens}, {ID: uint64(firstSuffixBlockID + f.requestCount), Tokens: suffixTokens}},
	}, longOutputTokens
}

func (f *Fleet) submitShort() {
	request, outputTokens := f.newShortRequest()
	f.submit(request, outputTokens, false)
}

func (f *Fleet) submitLong(hotGroupFraction float64) {
	request, outputTokens := f.newLongRequest(hotGroupFraction)
	f.submit(request, outputTokens, true)
}

// submit sends a request to a random instance, which places it on an engine. An
// engine that refuses it or the connection is avoided in the next attempt.
func (f *Fleet) submit(request placer.Request, outputTokens int, isLong bool) {
	f.requestCount++
	instance := f.drawInstance()
	for range maxAttempts {
		f.lastSequenceID++
		s := &sequence{
			instance: instance, id: f.lastSequenceID, isLong: isLong, arrivedAt: f.now, promptTokens: request.PromptTokens, outputTokens: outputTokens, blocks: request.Blocks,
		}
		engineIndex, cacheSource, ok := f.chooseEngine(s, request)
		if !ok {
			f.outcome.Refused++

			return
		}
		e := f.engines[engineIndex]
		switch {
		case e.down:
			f.instances[instance].RecordResult(f.now, s.id, placer.Unreachable)
		case e.isFull():
			f.instances[instance].RecordResult(f.now, s.id, placer.Refused)
			if slices.ContainsFunc(f.engines, (*engine).hasFreeSlot) {
				f.outcome.AvoidableRefusals++
			}
		default:
			f.enqueue(s, e, cacheSource)

			return
		}
		request.AvoidEndpoints = append(slices.Clone(request.AvoidEndpoints), f.endpoints[engineIndex].ID)
	}
	f.outcome.Refused++
}

// enqueue adds a sequence to an engine's queue. The engine first copies the prompt
// blocks that cacheSource has cached, if there is such an engine.
func (f *Fleet) enqueue(s *sequence, e *engine, cacheSource *engine) {
	if cacheSource != nil && !cacheSource.down && !cacheSource.unresponsive {
		for _, block := range s.blocks {
			e.cachedBlocks[block.ID] = e.cachedBlocks[block.ID] || cacheSource.cachedBlocks[block.ID]
		}
	}
	f.outcome.PrefilledTokens += e.uncachedTokens(s.promptTokens, s.blocks)
	if len(s.blocks) > 0 && f.prefilledBlocks[s.blocks[0].ID] && !e.cachedBlocks[s.blocks[0].ID] {
		f.outcome.RepeatedPrefixTokens += s.blocks[0].Tokens
	}
	for _, block := range s.blocks {
		f.prefilledBlocks[block.ID] = true
	}
	e.waiting = append(e.waiting, s)
}

// chooseEngine returns the index of the engine for a sequence and the engine to copy
// cached blocks from, or nil. It returns false when the instance refuses or postpones
// the request.
func (f *Fleet) chooseEngine(s *sequence, request placer.Request) (engineIndex int, cacheSource *engine, ok bool) {
	if f.policy.choose != nil {
		if f.policy.copiesCache {
			cacheSource = f.cacheSource(request)
		}

		return f.policy.choose(f, f.requestCount, request, f.untriedEngines(request)), cacheSource, true
	}
	p := f.instances[s.instance]
	choice, ok := p.Pick(f.now, request)
	if !ok {
		return 0, nil, false
	}
	if _, postponed := p.ShouldPostpone(request, choice); postponed {
		return 0, nil, false
	}
	p.RecordSent(f.now, s.id, choice, request)
	defer func() { f.sendLoadUpdates(s.instance, f.engines[engineIndex]) }()
	for i, endpoint := range f.endpoints {
		if endpoint.ID == choice.EndpointID {
			engineIndex = i
		}
		if endpoint.Address == choice.CacheSourceAddress {
			cacheSource = f.engines[i]
		}
	}

	return engineIndex, cacheSource, true
}

// cacheSource returns a working engine that has the first block of a prompt cached,
// or nil.
func (f *Fleet) cacheSource(request placer.Request) *engine {
	if len(request.Blocks) == 0 {
		return nil
	}
	for _, e := range f.engines {
		if e.cachedBlocks[request.Blocks[0].ID] && !e.down && !e.unresponsive {
			return e
		}
	}

	return nil
}

// untriedEngines returns the indexes of the engines that a request does not avoid.
func (f *Fleet) untriedEngines(request placer.Request) []int {
	var untried []int
	for i, endpoint := range f.endpoints {
		if !slices.Contains(request.AvoidEndpoints, endpoint.ID) {
			untried = append(untried, i)
		}
	}

	return untried
}

package simulator

import (
	"slices"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// shortPrompt draws a short prompt, which shares nothing.
func (f *Fleet) shortPrompt() (placer.Request, int) {
	output := outputLeast + int(f.random.ExpFloat64()*outputMean)
	prompt := min(shortLimit, shortLeast+int(f.random.ExpFloat64()*shortMean))

	return placer.Request{Service: service, PromptTokens: prompt, OutputTokens: output, CanCopyCache: true, TargetTimeToFirstToken: shortTarget}, output
}

// longPrompt draws a prompt of some family; a share of them are of the first.
func (f *Fleet) longPrompt(hot float64) (placer.Request, int) {
	family := uint64(1 + f.random.IntN(families))
	own := longOwn + int(f.random.ExpFloat64()*longMean)
	if hot > 0 && f.random.Float64() < hot {
		family = 1
	}

	return placer.Request{
		Service: service, PromptTokens: sharedTokens + own, OutputTokens: longOutput, CanCopyCache: true, TargetTimeToFirstToken: longTarget,
		Blocks: []placer.PromptBlock{{ID: family, Tokens: sharedTokens}, {ID: uint64(firstSequence + f.serial), Tokens: own}},
	}, longOutput
}

func (f *Fleet) arriveShort() {
	ask, output := f.shortPrompt()
	f.arrive(ask, output, false)
}

func (f *Fleet) arriveLong(hot float64) {
	ask, output := f.longPrompt(hot)
	f.arrive(ask, output, true)
}

// arrive places a request at some instance.
func (f *Fleet) arrive(ask placer.Request, output int, long bool) {
	f.serial++
	instance := f.random.IntN(len(f.instances))
	for range triesMost {
		f.sequences++
		s := &sequence{
			instance: instance, id: f.sequences, long: long, arrived: f.now, prompt: ask.PromptTokens, output: output, parts: ask.Blocks,
		}
		at, source, ok := f.place(s, ask)
		if !ok {
			f.outcome.Refused++

			return
		}
		if e := f.engines[at]; !e.down {
			f.send(s, e, source)

			return
		}
		f.instances[instance].RecordResult(f.now, s.id, placer.Unreachable)
		ask.AvoidEndpoints = append(slices.Clone(ask.AvoidEndpoints), f.endpoints[at].ID)
	}
	f.outcome.Refused++
}

// send queues a request at an engine, which copies cached parts first.
func (f *Fleet) send(s *sequence, e *engine, source *engine) {
	if source != nil && !source.down && !source.dark {
		for _, part := range s.parts {
			e.cache[part.ID] = e.cache[part.ID] || source.cache[part.ID]
		}
	}
	f.outcome.Read += e.fresh(s.prompt, s.parts)
	if len(s.parts) > 0 && f.known[s.parts[0].ID] && !e.cache[s.parts[0].ID] {
		f.outcome.Again += s.parts[0].Tokens
	}
	for _, part := range s.parts {
		f.known[part.ID] = true
	}
	e.waiting = append(e.waiting, s)
}

// place chooses the engine, and the one to copy cached parts from; nil: none.
func (f *Fleet) place(s *sequence, ask placer.Request) (at int, source *engine, ok bool) {
	if f.way.choose != nil {
		if f.way.copies {
			source = f.holder(ask)
		}

		return f.way.choose(f, f.serial, ask, f.open(ask)), source, true
	}
	p := f.instances[s.instance]
	choice, ok := p.Pick(f.now, ask)
	if !ok {
		return 0, nil, false
	}
	if _, postponed := p.ShouldPostpone(ask, choice); postponed {
		return 0, nil, false
	}
	p.RecordSent(f.now, s.id, choice, ask)
	defer func() { f.note(s.instance, f.engines[at]) }()
	for i, registered := range f.endpoints {
		if registered.ID == choice.EndpointID {
			at = i
		}
		if registered.Address == choice.CacheSourceAddress {
			source = f.engines[i]
		}
	}

	return at, source, true
}

// holder returns an engine that has read the part that a prompt shares; nil:
// none.
func (f *Fleet) holder(ask placer.Request) *engine {
	if len(ask.Blocks) == 0 {
		return nil
	}
	for _, e := range f.engines {
		if e.cache[ask.Blocks[0].ID] && !e.down && !e.dark {
			return e
		}
	}

	return nil
}

// open returns the engines that a request has not tried.
func (f *Fleet) open(ask placer.Request) []int {
	var open []int
	for i, registered := range f.endpoints {
		if !slices.Contains(ask.AvoidEndpoints, registered.ID) {
			open = append(open, i)
		}
	}

	return open
}

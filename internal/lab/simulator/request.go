package simulator

import (
	"slices"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// shortPrompt draws a short prompt, which shares nothing.
func (f *Fleet) shortPrompt() (placer.Ask, int) {
	output := outputLeast + int(f.random.ExpFloat64()*outputMean)
	prompt := min(shortLimit, shortLeast+int(f.random.ExpFloat64()*shortMean))

	return placer.Ask{Service: service, Prompt: prompt, Output: output, Copies: true, Target: shortTarget}, output
}

// longPrompt draws a prompt of some family; a share of them are of the first.
func (f *Fleet) longPrompt(hot float64) (placer.Ask, int) {
	family := uint64(1 + f.random.IntN(families))
	own := longOwn + int(f.random.ExpFloat64()*longMean)
	if hot > 0 && f.random.Float64() < hot {
		family = 1
	}

	return placer.Ask{
		Service: service, Prompt: sharedTokens + own, Output: longOutput, Copies: true, Target: longTarget,
		Parts: []placer.Part{{ID: family, Tokens: sharedTokens}, {ID: uint64(firstSequence + f.serial), Tokens: own}},
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
func (f *Fleet) arrive(ask placer.Ask, output int, long bool) {
	f.serial++
	instance := f.random.IntN(len(f.instances))
	for range triesMost {
		f.sequences++
		s := &sequence{
			instance: instance, id: f.sequences, long: long, arrived: f.now, prompt: ask.Prompt, output: output, parts: ask.Parts,
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
		f.instances[instance].End(f.now, s.id, placer.Unreachable)
		ask.Avoid = append(slices.Clone(ask.Avoid), f.endpoints[at].ID)
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
func (f *Fleet) place(s *sequence, ask placer.Ask) (at int, source *engine, ok bool) {
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
	if _, postponed := p.Postpone(ask, choice); postponed {
		return 0, nil, false
	}
	p.Start(f.now, s.id, choice, ask)
	defer func() { f.note(s.instance, f.engines[at]) }()
	for i, registered := range f.endpoints {
		if registered.ID == choice.ID {
			at = i
		}
		if registered.Address == choice.Source {
			source = f.engines[i]
		}
	}

	return at, source, true
}

// holder returns an engine that has read the part that a prompt shares; nil:
// none.
func (f *Fleet) holder(ask placer.Ask) *engine {
	if len(ask.Parts) == 0 {
		return nil
	}
	for _, e := range f.engines {
		if e.cache[ask.Parts[0].ID] && !e.down && !e.dark {
			return e
		}
	}

	return nil
}

// open returns the engines that a request has not tried.
func (f *Fleet) open(ask placer.Ask) []int {
	var open []int
	for i, registered := range f.endpoints {
		if !slices.Contains(ask.Avoid, registered.ID) {
			open = append(open, i)
		}
	}

	return open
}

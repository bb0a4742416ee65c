package placer

import "time"

const (
	// peerMemory is the least time that the word of another instance counts.
	peerMemory = time.Second
	// wordsMissed is how many words of an instance may be missed before its
	// last one counts no more.
	wordsMissed = 3
	// gapMemory is the weight of one more gap between two words.
	gapMemory = 0.3
	// expireInterval is the time between two looks for old words.
	expireInterval = 100 * time.Millisecond
)

// peers are the other instances by name. What they have at endpoints is kept as
// a sum at each endpoint, so that a pick does not take longer in a larger fleet.
type peers struct {
	words   map[string]*word
	expired time.Time
}

// word is the last word of an instance.
type word struct {
	at    time.Time
	gap   time.Duration // usual time between two words
	loads map[string]Load
}

// hear takes in a word.
func (p *peers) hear(now time.Time, name string, loads map[string]Load, endpoints map[string]*endpoint) {
	if p.words == nil {
		p.words = map[string]*word{}
	}
	w := p.words[name]
	if w == nil {
		w = &word{at: now}
		p.words[name] = w
	}
	w.add(endpoints, -1)
	w.gap += time.Duration(gapMemory * float64(now.Sub(w.at)-w.gap))
	w.at, w.loads = now, loads
	w.add(endpoints, 1)
}

// expire forgets words that are too old.
func (p *peers) expire(now time.Time, endpoints map[string]*endpoint) {
	if now.Sub(p.expired) < expireInterval {
		return
	}
	p.expired = now
	for name, w := range p.words {
		if now.Sub(w.at) > max(peerMemory, wordsMissed*w.gap) {
			w.add(endpoints, -1)
			delete(p.words, name)
		}
	}
}

// count adds all words to endpoints whose sums are empty.
func (p *peers) count(endpoints map[string]*endpoint) {
	for _, w := range p.words {
		w.add(endpoints, 1)
	}
}

// add adds a multiple of the word to the endpoints' sums.
func (w *word) add(endpoints map[string]*endpoint, factor int) {
	for id, load := range w.loads {
		if e := endpoints[id]; e != nil {
			e.others = e.others.plus(load, factor)
		}
	}
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Times of the case restart-forgets, since its start.
const (
	poisonPath   = quotePrefix + "7c"
	firstComing  = 6 * time.Second
	comingPeriod = 10 * time.Second
	fleetKillAt  = 20 * time.Second
	fleetDown    = 1400 * time.Millisecond
	forgetsEnd   = 42 * time.Second
	maxLateRuns  = 3
	// postingPeriod is the time between two postings of one of the seven clients.
	postingPeriod = 200 * time.Millisecond
)

// playRestartForgets sends a lookup that crashes each server which runs it, as one client sends it again and
// again. All processes of the system are killed and start again between two of these times.
func playRestartForgets(s *stage, hasTrouble bool) error {
	s.writeConfig(1)
	for i := range 4 {
		if err := s.addServer(ledgerName, []string{"bc-south-a", "bc-south-b", "bc-south-c"}[i%3], func(server *server) {
			server.slots, server.queue, server.work = 6, 24, 30*time.Millisecond
			server.crashes = func(path string) bool { return path == poisonPath }
		}); err != nil {
			return err
		}
	}
	s.addRelays(7)
	if err := s.startRelays(true); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	lost := s.startPostings(stop, &clients)
	clients.Go(func() { s.sendPoison(stop) })
	if hasTrouble {
		s.sleepUntil(fleetKillAt)
		if err := s.killFleet(); err != nil {
			return err
		}
	}
	s.sleepUntil(forgetsEnd)
	close(stop)
	clients.Wait()
	s.logf("postings after the restart that ended without an answer of their server: %d", lost())

	return s.judgePoison()
}

// killFleet kills all processes at the same time and starts them again.
func (s *stage) killFleet() error {
	var killed sync.WaitGroup
	for _, r := range s.relays {
		killed.Go(r.kill)
	}
	killed.Wait()
	time.Sleep(fleetDown)

	return s.startRelays(false)
}

// sendPoison sends the lookup now and then, as a client does: once more, at once, on a new connection to another
// machine if it fails, unless the answer promises that it has not run and tells when to come back.
func (s *stage) sendPoison(stop <-chan struct{}) {
	next := 0
	for coming := firstComing; coming < forgetsEnd; coming += comingPeriod {
		s.sleepUntil(coming)
		for range 2 {
			select {
			case <-stop:
				return
			default:
			}
			r := s.relays[next%len(s.relays)]
			next++
			result := s.send(newClient(), r, request{method: "GET", path: poisonPath, limit: time.Second})
			s.logf("lookup that crashes servers: %v", result)
			if result.status == 503 || result.status == 429 {
				break // It is told to come back later than its time limit.
			}
		}
	}
}

// startPostings starts clients that send postings. The returned function tells how many were passed on to a server
// after the restart and ended without its answer.
func (s *stage) startPostings(stop <-chan struct{}, clients *sync.WaitGroup) (lost func() int) {
	var mu sync.Mutex
	count := 0
	for i := range len(s.relays) {
		clients.Go(func() {
			client := newClient()
			time.Sleep(time.Duration(i) * postingPeriod / time.Duration(len(s.relays))) // So that they do not send at the same time.
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(postingPeriod):
				}
				result := s.send(client, s.relays[(i+n/10)%len(s.relays)], request{method: "POST", path: payPrefix + "2f", body: strings.Repeat("p", 600), limit: time.Second})
				if result.isWhole && result.status == 200 {
					continue
				}
				s.logf("posting: %v", result)
				if (result.status == 502 || result.status == 504) && result.sentAt.After(s.startedAt.Add(fleetKillAt+fleetDown)) {
					mu.Lock()
					count++
					mu.Unlock()
				}
			}
		})
	}

	return func() int {
		mu.Lock()
		defer mu.Unlock()

		return count
	}
}

// judgePoison counts how often the lookup reached a server later than stableTime after it had crashed the third one.
func (s *stage) judgePoison() error {
	var crashes []time.Time
	for _, server := range s.servers {
		server.mu.Lock()
		crashes = append(crashes, server.crashed...)
		server.mu.Unlock()
	}
	if len(crashes) < 3 {
		return fmt.Errorf("the lookup crashed %d servers, so nothing can be judged", len(crashes))
	}
	sortTimes(crashes)
	bound := crashes[2].Add(stableTime)
	late := s.arrivalsOf(func(a arrival) bool { return a.path == poisonPath && a.at.After(bound) })
	for _, a := range late {
		s.logf("the lookup reached server %s at %.3f s, %.3f s after it had crashed the third server", a.server, a.at.Sub(s.startedAt).Seconds(), a.at.Sub(crashes[2]).Seconds())
	}
	s.logf("crashes of servers: %d; arrivals of the lookup later than %v after the third: %d, allowed: %d", len(crashes), stableTime, len(late), maxLateRuns)
	if len(late) > maxLateRuns {
		return fmt.Errorf("%w: the lookup reached servers %d times later than %v after it had crashed the third", errBroken, len(late), stableTime)
	}

	return nil
}

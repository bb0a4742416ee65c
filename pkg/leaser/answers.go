package leaser

import (
	"slices"
	"time"
)

// OnRead takes the object as it was read, or as a watch reported it.
func (l *Leaser) OnRead(now time.Time, observed StoredLease) []Action {
	l.waiting = false
	l.observe(now, observed)
	return l.next(now)
}

// OnReadFailed takes note that the object could not be read.
func (l *Leaser) OnReadFailed(now time.Time) {
	l.waiting = false
	l.due = now.Add(RetryPause)
}

// OnWritten takes the version that our write made.
func (l *Leaser) OnWritten(now time.Time, write Write, version uint64) {
	l.waiting = false
	l.observe(now, StoredLease{Version: version, Lease: write.Lease})
	l.schedule(now)
}

// OnWriteConflict takes the object that stood in the way of our write.
func (l *Leaser) OnWriteConflict(now time.Time, write Write, observed StoredLease) []Action {
	l.waiting = false
	l.forget(write.Lease.Turn)
	if write.Version == l.seen.Version && observed.Version > 0 && observed.Version < write.Version {
		l.setBack()
	}
	l.observe(now, observed)
	return l.next(now)
}

// setBack forgets the newest form seen: the store itself went back, as after
// the restoring of a backup, for a write is held against what is in it.
func (l *Leaser) setBack() {
	l.floor = l.Highest()
	l.seen.Version = 0
}

// OnWriteFailed takes note that a write failed, or that it is uncertain whether
// it took effect. An uncertain one is settled by reading the object back.
func (l *Leaser) OnWriteFailed(now time.Time, write Write, uncertain bool) {
	l.waiting = false
	if !uncertain {
		l.forget(write.Lease.Turn)
	}
	l.due = now.Add(RetryPause)
}

// forget drops a write that did not take effect.
func (l *Leaser) forget(turn uint64) {
	l.tries = slices.DeleteFunc(l.tries, func(t try) bool { return t.turn == turn })
}

// Release gives the lease up: nothing is held from now on. The caller carries
// out the write if there is one; without it the lease runs out by itself.
func (l *Leaser) Release(now time.Time) []Action {
	_, _, held := l.Held(now)
	settled := l.settled()
	l.stopped = true
	l.until = time.Time{}
	if !held || !settled {
		return nil
	}
	l.turn++
	lease := Lease{Fence: l.fence, Turn: l.turn, Duration: l.settings.Duration, Payload: l.carried()}
	return []Action{Write{Name: l.settings.Name, Lease: lease, Version: l.seen.Version}}
}

// observe takes note of a form of the object that is newer than the newest one
// seen, and settles which of our writes took effect.
func (l *Leaser) observe(now time.Time, observed StoredLease) {
	if observed.Version == 0 {
		l.vanish(now)
		return
	}
	if observed.Version <= l.seen.Version {
		return
	}
	l.seen, l.seenSince = observed, now
	own := observed.Lease.Owner == l.settings.HolderID
	for _, try := range l.tries {
		if own && try.turn == observed.Lease.Turn && !l.stopped {
			l.hold(try)
		}
	}
	if !own {
		l.until = time.Time{} // Another holder or a release: ours is over.
	}
	// A write sent on an older version can no longer take effect.
	l.tries = nil
}

// vanish takes note that the object is gone. What it held may have been renewed
// unseen before, so that its duration counts anew.
func (l *Leaser) vanish(now time.Time) {
	if l.seen.Version > 0 {
		l.seen.Version, l.seenSince = 0, now
	}
}

// hold takes the lease as held since before the write was sent.
func (l *Leaser) hold(t try) {
	l.fence = t.fence
	l.sent = t.sent
	l.until = t.sent.Add(l.settings.Duration - l.settings.Duration/MarginParts)
}

// next decides what follows a read: take the lease, renew it or wait.
func (l *Leaser) next(now time.Time) []Action {
	if l.stopped {
		return nil
	}
	l.schedule(now)
	if fence, _, held := l.Held(now); held {
		if now.Before(l.due) {
			return nil
		}
		return l.write(now, fence)
	}
	if l.takeable(now) {
		l.payload = nil // What the last holder left counts, not an older one of ours.
		return l.write(now, l.Highest()+1)
	}
	return nil
}

// schedule sets the time of the next call: the holder's renewal, the others'
// poll, or the end of the lease that was seen if that is earlier.
func (l *Leaser) schedule(now time.Time) {
	if _, _, held := l.Held(now); held {
		l.due = l.sent.Add(l.settings.Renew)
		return
	}
	l.due = now.Add(l.settings.Poll)
	if over := l.seenSince.Add(l.seen.Lease.Duration); over.After(now) && over.Before(l.due) {
		l.due = over
	}
}

// takeable reports whether nobody else can hold the lease any more.
func (l *Leaser) takeable(now time.Time) bool {
	lease := l.seen.Lease
	if lease.Free() || lease.Owner == l.settings.HolderID {
		return true
	}
	return !now.Before(l.seenSince.Add(lease.Duration))
}

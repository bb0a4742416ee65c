package leaser

import (
	"slices"
	"time"
)

// OnRead handles the lease object as it was read or as a watch reported it, and
// returns the write that follows from it, if any.
func (l *Leaser) OnRead(now time.Time, stored StoredLease) []Action {
	l.callInFlight = false
	l.recordStored(now, stored)
	return l.acquireOrRenew(now)
}

// OnReadFailed handles a failed read: the store is called again after the retry delay.
func (l *Leaser) OnReadFailed(now time.Time) {
	l.callInFlight = false
	l.nextCallAt = now.Add(l.settings.RetryDelay)
}

// OnWritten handles a successful write that created the given version.
func (l *Leaser) OnWritten(now time.Time, write Write, version uint64) {
	l.OnWrittenInEpoch(now, write, version, write.Lease.Epoch)
}

// OnWrittenInEpoch is OnWritten for a store that states its epoch.
func (l *Leaser) OnWrittenInEpoch(now time.Time, write Write, version, epoch uint64) {
	l.callInFlight = false
	l.recordStored(now, StoredLease{Version: version, Epoch: epoch, Lease: write.Lease})
	l.scheduleNextCall(now)
}

// OnWriteConflict handles a write that was rejected because the store holds the given
// version instead of the expected one. It returns the write that follows, if any.
func (l *Leaser) OnWriteConflict(now time.Time, write Write, stored StoredLease) []Action {
	l.callInFlight = false
	l.dropPendingWrite(write.Lease.WriteSequence)
	if write.Version == l.latest.Version && stored.Version > 0 && stored.Version < write.Version {
		l.resetAfterRestore()
	}
	l.recordStored(now, stored)
	return l.acquireOrRenew(now)
}

// resetAfterRestore accepts lower versions again, as the store itself went back, for
// example when a backup was restored: a conflict on a write shows what it holds now.
// The fencing token stays above the highest one known.
func (l *Leaser) resetAfterRestore() {
	l.reportedFence = l.HighestFence()
	l.latest.Version = 0
}

// OnWriteFailed handles a write that failed, or one in doubt, which may have taken
// effect. A later read of the object shows whether a write in doubt did.
func (l *Leaser) OnWriteFailed(now time.Time, write Write, inDoubt bool) {
	l.callInFlight = false
	if !inDoubt {
		l.dropPendingWrite(write.Lease.WriteSequence)
	}
	l.nextCallAt = now.Add(l.settings.RetryDelay)
}

// dropPendingWrite forgets a write that did not take effect.
func (l *Leaser) dropPendingWrite(sequence uint64) {
	l.pendingWrites = slices.DeleteFunc(l.pendingWrites, func(w pendingWrite) bool { return w.sequence == sequence })
}

// Release ends this instance's use of the lease for good: it is not held or acquired
// again. The caller carries out the returned write, which lets another instance
// acquire the lease at once; without it the lease expires by itself.
func (l *Leaser) Release(now time.Time) []Action {
	_, _, held := l.Held(now)
	confirmed := l.isLastWriteConfirmed()
	l.released = true
	l.expiresAt = time.Time{}
	if !held || !confirmed {
		return nil
	}
	l.writeSequence++
	lease := l.renewedLease()
	lease.HolderID, lease.WriteSequence, lease.Duration, lease.Epoch = "", l.writeSequence, l.settings.Duration, l.latest.Epoch
	return []Action{Write{Name: l.settings.Name, Lease: lease, Version: l.latest.Version}}
}

// recordStored records a version of the lease object if it is newer than the newest
// known one, and finds out from it which write of this instance took effect.
func (l *Leaser) recordStored(now time.Time, stored StoredLease) {
	if stored.Version == 0 {
		l.recordDeletion(now)
		return
	}
	if stored.Epoch < l.latest.Epoch || (stored.Epoch == l.latest.Epoch && stored.Version <= l.latest.Version) {
		return
	}
	if l.latest.Version > 0 {
		l.reportedFence = max(l.reportedFence, l.latest.Lease.Fence) // That of a restored copy may be lower.
	}
	l.latest, l.latestSeenAt = stored, now
	heldLocally := stored.Lease.HolderID == l.settings.HolderID
	for _, pending := range l.pendingWrites {
		if heldLocally && pending.sequence == stored.Lease.WriteSequence && !l.released {
			l.setHeld(pending)
		}
	}
	if !heldLocally {
		l.expiresAt = time.Time{} // Another instance acquired the lease, or it was released.
	}
	// Writes that expect an older version can no longer take effect.
	l.pendingWrites = nil
}

// recordDeletion records that the lease object no longer exists. The lease may have
// been renewed unseen before the deletion, so it counts as held for its full duration
// from now.
func (l *Leaser) recordDeletion(now time.Time) {
	if l.latest.Version > 0 {
		l.latest.Version, l.latestSeenAt = 0, now
	}
	if l.absentSince.IsZero() {
		l.absentSince = now
	}
}

// setHeld marks the lease as held by a write that took effect, counting its duration
// from when the write was sent.
func (l *Leaser) setHeld(w pendingWrite) {
	l.fence = w.fence
	if w.isAcquisition && l.settings.FenceFromVersion {
		// The version is higher unless the store came back from a copy and states no epoch.
		l.fence = max(l.latest.versionFence(), l.reportedFence+1, l.latest.Lease.Fence+1)
	}
	l.confirmedWriteSentAt = w.sentAt
	l.expiresAt = w.sentAt.Add(l.settings.Duration - l.settings.Duration/DriftMarginDivisor)
}

// acquireOrRenew returns the write that follows a read: one that acquires the lease,
// one that renews it if that is due, or none.
func (l *Leaser) acquireOrRenew(now time.Time) []Action {
	if l.released {
		return nil
	}
	l.scheduleNextCall(now)
	if _, _, held := l.Held(now); held {
		if now.Before(l.nextCallAt) {
			return nil
		}
		return l.startWrite(now, l.renewedLease(), false)
	}
	if l.canAcquire(now) {
		l.payloadOverride = nil // The last holder's payload is newer than the one set here.
		return l.startWrite(now, l.acquiredLease(now), true)
	}
	return nil
}

// maxRecentNames is the number of names of recent holders that are kept. More releases within one
// duration are not expected; a holder that is no longer named may then return early.
const maxRecentNames = 8

// acquiredLease returns the lease that is written to acquire it.
func (l *Leaser) acquiredLease(now time.Time) Lease {
	last := l.latest.Lease
	lease := Lease{HolderID: l.settings.HolderID, Fence: l.HighestFence() + 1, Payload: last.Payload, HolderName: l.settings.HolderName}
	if l.settings.FenceFromVersion {
		lease.Fence = l.HighestFence() // The token of this term is known once the write is confirmed.
		lease.PayloadLost = l.latest.Version == 0 || last.PayloadLost || last.Epoch != l.latest.Epoch
	}
	if l.settings.HolderName == "" {
		return lease
	}
	if now.Before(l.latestSeenAt.Add(last.Duration)) {
		lease.RecentNames = slices.Clone(last.RecentNames)
	}
	if last.HolderName != "" && last.HolderName != l.settings.HolderName {
		lease.RecentNames = append(lease.RecentNames, last.HolderName)
	}
	lease.RecentNames = lease.RecentNames[max(0, len(lease.RecentNames)-maxRecentNames):]
	return lease
}

// scheduleNextCall sets the time of the next call to the store: the renewal if this
// instance holds the lease, or else the next poll or the end of the current holder's
// lease, whichever comes first.
func (l *Leaser) scheduleNextCall(now time.Time) {
	if _, _, held := l.Held(now); held {
		l.nextCallAt = l.confirmedWriteSentAt.Add(l.settings.RenewInterval)
		return
	}
	l.nextCallAt = now.Add(l.settings.PollInterval)
	if leaseEnd := l.latestSeenAt.Add(l.latest.Lease.Duration); leaseEnd.After(now) && leaseEnd.Before(l.nextCallAt) {
		l.nextCallAt = leaseEnd
	}
	if absenceEnd := l.absentSince.Add(l.settings.Duration); l.latest.Version == 0 && absenceEnd.After(now) && absenceEnd.Before(l.nextCallAt) {
		l.nextCallAt = absenceEnd
	}
}

// canAcquire reports whether no other instance can still hold the lease: it was
// released, was last held by this process, or was not renewed for its duration.
func (l *Leaser) canAcquire(now time.Time) bool {
	lease := l.latest.Lease
	if l.latest.Version == 0 && l.latestSeenAt.IsZero() {
		return !l.settings.WaitIfAbsent || !now.Before(l.absentSince.Add(l.settings.Duration))
	}
	isRecent := l.settings.HolderName != "" && lease.HolderName != l.settings.HolderName && slices.Contains(lease.RecentNames, l.settings.HolderName)
	if lease.HolderID == l.settings.HolderID || (lease.IsReleased() && !isRecent) {
		return true
	}
	return !now.Before(l.latestSeenAt.Add(lease.Duration))
}

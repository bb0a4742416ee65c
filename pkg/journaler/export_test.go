package journaler

// Clone returns a deep copy of the state, which takes its tokens from newToken.
func (j *Journaler) Clone(newToken func() string) *Journaler {
	copied := *j
	copied.newToken = newToken
	copied.calls = map[uint64]*pendingCall{}
	for id, pending := range j.calls {
		copiedCall := *pending
		copied.calls[id] = &copiedCall
	}
	copied.shards = map[string]*shard{}
	copied.shardsByAge = nil
	for _, s := range j.shardsByAge {
		copiedShard := *s
		copiedShard.calls, copiedShard.pendingOutcomes = nil, nil
		for _, pending := range s.calls {
			copiedCall, ok := copied.calls[pending.call.ID]
			if !ok {
				panic("a shard holds a call that has ended")
			}
			copiedShard.calls = append(copiedShard.calls, copiedCall)
		}
		for _, outcome := range s.pendingOutcomes {
			copiedOutcome := *outcome
			copiedShard.pendingOutcomes = append(copiedShard.pendingOutcomes, &copiedOutcome)
		}
		copied.shards[s.name] = &copiedShard
		copied.shardsByAge = append(copied.shardsByAge, &copiedShard)
	}
	return &copied
}

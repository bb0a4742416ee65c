package profiler

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/follower"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/publisher"
	"github.com/oleanderpick/oleanderpick/internal/resolver"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

const (
	// measuredChanges is the number of configuration changes that are made to measure the
	// mean cost of one.
	measuredChanges = 4
	// applyTimeout limits the wait, in real time, until the follower applies a revision.
	applyTimeout = time.Minute
	// idleWatchReadsPerSecond is how often a watch is renewed while nothing changes: one
	// watch call of the follower waits at most 30 seconds.
	idleWatchReadsPerSecond = 1.0 / 30
)

// configurationMeasurement measures a real follower that reads its configuration from a
// stand-in platform.
type configurationMeasurement struct {
	platform          *countingPlatform
	follower          *follower.Follower
	appliedResolvers  chan *resolver.Resolver
	cancel            context.CancelFunc
	publishedRevision reviser.Revision
	writtenPartHashes map[string]bool
	followerUsage     ComponentUsage
	// leaseHolderUsage is what an instance needs in addition while it holds the lease and
	// publishes revisions.
	leaseHolderUsage ComponentUsage
	writeCount       int
}

// measureConfiguration publishes the plan's resources as a revision, and measures what a
// follower needs to hold it and what later changes cost. The returned resolver is of the
// first revision. The measurement must be closed.
func measureConfiguration(ctx context.Context, plan Plan, resources []declarer.Resource) (*configurationMeasurement, *resolver.Resolver, error) {
	m := &configurationMeasurement{
		platform:          newCountingPlatform(),
		appliedResolvers:  make(chan *resolver.Resolver, 1),
		writtenPartHashes: map[string]bool{},
		followerUsage:     ComponentUsage{Name: "configuration"},
		leaseHolderUsage:  ComponentUsage{Name: "lease holder"},
	}
	ctx, m.cancel = context.WithCancel(ctx)
	if err := m.publish(ctx, resources); err != nil {
		return nil, nil, err
	}
	m.publishedRevision = reviser.Revision{}
	heapBefore := heapInUse()
	m.follower = follower.New(m.platform, func(applied *resolver.Resolver) { m.appliedResolvers <- applied }, meter.New(), hclog.NewNullLogger())
	go func() { _ = m.follower.Serve(ctx) }()
	applied, err := m.awaitApplied()
	if err != nil {
		return nil, nil, err
	}
	m.followerUsage.HeapBytes = heapInUse() - heapBefore
	m.followerUsage.OpenWatches = float64(m.platform.peakOpenWatches.Load())

	return m, applied, m.measureChanges(ctx, plan, resources)
}

// publish compiles the resources to a revision. It writes those of its parts that were not
// written before, and then the head.
func (m *configurationMeasurement) publish(ctx context.Context, resources []declarer.Resource) error {
	m.publishedRevision, _ = reviser.Compile(m.publishedRevision, resources)
	for _, part := range m.publishedRevision.Parts {
		if m.writtenPartHashes[part.Hash] {
			continue
		}
		if err := m.write(ctx, publisher.KindPart, part.Hash, part); err != nil {
			return err
		}
		m.writtenPartHashes[part.Hash] = true
	}

	return m.write(ctx, publisher.KindHead, publisher.HeadName, reviser.Head{
		Number:     m.publishedRevision.Number,
		PartHashes: m.publishedRevision.PartHashes(),
	})
}

// write writes an object to the platform as JSON, without counting its bytes.
func (m *configurationMeasurement) write(ctx context.Context, kind, name string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	m.writeCount++
	_, err = m.platform.operatorClient.Put(ctx, kind, name, encoded, storer.Always())

	return err
}

// awaitApplied waits until the follower applies a revision, and returns its resolver.
func (m *configurationMeasurement) awaitApplied() (*resolver.Resolver, error) {
	timer := time.NewTimer(applyTimeout)
	defer timer.Stop()
	select {
	case applied := <-m.appliedResolvers:
		return applied, nil
	case <-timer.C:
		return nil, errors.New("timed out waiting for the follower to apply a revision")
	}
}

// measureChanges publishes measuredChanges revisions that change one workspace each, and
// sets the rates that follow from their mean cost and the plan's changes per day.
func (m *configurationMeasurement) measureChanges(ctx context.Context, plan Plan, resources []declarer.Resource) error {
	heapBefore := heapInUse()
	m.publishedRevision, _ = reviser.Compile(reviser.Revision{}, resources)
	m.leaseHolderUsage.HeapBytes = heapInUse() - heapBefore
	m.writeCount = 0
	readsBefore, bytesBefore := m.platform.readCount.Load(), m.platform.byteCounts()
	for i := range measuredChanges {
		raiseWorkspaceLimit(resources, i*(plan.Workspaces-1)/measuredChanges)
		var err error
		addCPUTime(&m.leaseHolderUsage, func() { err = m.publish(ctx, resources) })
		if err != nil {
			return err
		}
		addCPUTime(&m.followerUsage, func() { _, err = m.awaitApplied() })
		if err != nil {
			return err
		}
	}
	changeRate := plan.ChangesPerDay / secondsPerDay / measuredChanges
	m.followerUsage.CPUSeconds *= changeRate
	m.leaseHolderUsage.CPUSeconds *= changeRate
	m.leaseHolderUsage.WritesPerSecond = float64(m.writeCount+measuredChanges) * changeRate
	m.followerUsage.ReadsPerSecond = idleWatchReadsPerSecond + float64(m.platform.readCount.Load()-readsBefore)*changeRate
	transferred := m.platform.byteCounts().subtract(bytesBefore)
	m.followerUsage.PlatformBytesPerSecond = ByteCounts{Sent: transferred.Sent * changeRate, Received: transferred.Received * changeRate}

	return nil
}

// raiseWorkspaceLimit raises MaxInFlight of one workspace by one. The workspaces are
// the last resources; indexFromEnd counts from the last one.
func raiseWorkspaceLimit(resources []declarer.Resource, indexFromEnd int) {
	position := len(resources) - 1 - indexFromEnd
	var spec declarer.Workspace
	if json.Unmarshal(resources[position].Spec, &spec) != nil {
		return
	}
	spec.MaxInFlight++
	if encoded, err := json.Marshal(spec); err == nil {
		resources[position].Spec = encoded
		resources[position].Generation++
	}
}

func (m *configurationMeasurement) close() {
	m.cancel()
	m.platform.close()
}

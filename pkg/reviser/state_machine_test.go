package reviser_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

var startTime = time.Unix(1000, 0)

// formatActions returns the actions as one line of text.
func formatActions(actions []reviser.Action) string {
	var words []string
	for _, action := range actions {
		switch action := action.(type) {
		case reviser.FetchPart:
			words = append(words, "fetch "+action.Source)
		case reviser.ApplyRevision:
			words = append(words, fmt.Sprint("apply ", action.Revision.Number))
		case reviser.ReportRefusal:
			words = append(words, fmt.Sprint("refuse ", action.RevisionNumber, " ", action.Reason))
		case reviser.LoadHead:
			words = append(words, "load")
		case reviser.WritePart:
			words = append(words, "part")
		case reviser.WriteHead:
			words = append(words, fmt.Sprint("head ", action.Head.Number, " over ", action.ExpectedVersion))
		case reviser.WriteStatus:
			words = append(words, fmt.Sprint(action.Key, " ", action.Status.Accepted, " ", action.Status.RevisionNumber))
		case reviser.DeletePart:
			words = append(words, "delete "+action.Hash)
		}
	}
	return strings.Join(words, ", ")
}

func TestApplierFetchesCorruptPartFromAnotherSource(t *testing.T) {
	revision, _ := reviser.Compile(reviser.Revision{}, newConfiguration(3))
	part := revision.Parts[0]
	applier := reviser.New()
	assert.Equal(t, formatActions(applier.ReceiveHead(startTime, headOf(revision), "peer")), "fetch peer")
	assert.Equal(t, formatActions(applier.ReceiveHead(startTime, headOf(revision), "other")), "")
	corrupt := reviser.Part{Hash: part.Hash, Contents: []byte("[]")}
	assert.Equal(t, formatActions(applier.OnPartFetched(startTime, corrupt)), "refuse 0 the contents of part "+part.Hash+" do not match its hash, fetch other")
	applier.OnPartFetchFailed(startTime, part.Hash)
	assert.Equal(t, formatActions(applier.Tick(startTime)), "")
	assert.Equal(t, formatActions(applier.Tick(startTime.Add(reviser.FetchTimeout))), "fetch peer")
	assert.Equal(t, formatActions(applier.OnPartFetched(startTime, part)), "apply 1")
	assert.Equal(t, formatActions(applier.OnPartFetched(startTime, part)), "", "a late duplicate of the part is ignored")
	stored, found := applier.Part(part.Hash)
	assert.Assert(t, found && stored.IsIntact(), "peers can fetch the part from this instance")

	conflicting := reviser.Head{Number: 1, PartHashes: []string{"x"}}
	assert.Equal(t, formatActions(applier.ReceiveHead(startTime, conflicting, "peer")), "refuse 1 another revision with this number is in force")
	assert.Equal(t, formatActions(applier.ReceiveHead(startTime, headOf(revision), "peer")), "")
}

func TestApplierRefusesUndecodableHeadOnce(t *testing.T) {
	unknownKind := reviser.NewPart([]byte(`[{"kind":"Gateway","name":"g","spec":{}}]`))
	undecodable := reviser.Head{Number: 2, PartHashes: []string{unknownKind.Hash}}
	applier := reviser.New()
	assert.Equal(t, formatActions(applier.ReceiveHead(startTime, undecodable, "peer")), "fetch peer")
	assert.Assert(t, strings.HasPrefix(formatActions(applier.OnPartFetched(startTime, unknownKind)), "refuse 2 part "))
	assert.Equal(t, formatActions(applier.ReceiveHead(startTime, undecodable, "peer")), "", "the refused head is not fetched again")
	first, _ := reviser.Compile(reviser.Revision{}, newConfiguration(1))
	applier.ReceiveHead(startTime, headOf(first), "peer")
	assert.Equal(t, formatActions(applier.OnPartFetched(startTime, first.Parts[0])), "apply 1", "a lower head that can be decoded is applied")
}

func TestApplierLimitsFetchesHeadsAndParts(t *testing.T) {
	applier := reviser.New()
	for number := range uint64(10) {
		offered := reviser.Head{Number: number + 1}
		for part := range 100 {
			offered.PartHashes = append(offered.PartHashes, fmt.Sprint(number, "-", part))
		}
		assert.Equal(t, len(applier.ReceiveHead(startTime, offered, reviser.SourceStore)), reviser.MaxFetchesPerHead)
	}
	assert.Equal(t, len(applier.Tick(startTime.Add(time.Hour))), reviser.MaxPendingHeads*reviser.MaxFetchesPerHead)
	large := reviser.Head{Number: 99, PartHashes: make([]string, reviser.MaxParts+1)}
	assert.Equal(t, formatActions(applier.ReceiveHead(startTime, large, "peer")), "refuse 99 4097 parts exceed the limit of 4096")
}

// A head whose parts cannot be found anywhere must not use up the fetches of a lower
// head and so delay it.
func TestApplierAppliesLowerHeadWhileHigherLacksParts(t *testing.T) {
	incomplete := reviser.Head{Number: 2}
	for part := range 2 * reviser.MaxFetchesPerHead {
		incomplete.PartHashes = append(incomplete.PartHashes, fmt.Sprint(part))
	}
	first, _ := reviser.Compile(reviser.Revision{}, newConfiguration(1))
	applier := reviser.New()
	applier.ReceiveHead(startTime, incomplete, "peer")
	assert.Equal(t, formatActions(applier.ReceiveHead(startTime, headOf(first), "peer")), "fetch peer")
	assert.Equal(t, formatActions(applier.OnPartFetched(startTime, first.Parts[0])), "apply 1")
}

// newListing returns a listing whose resources were all read at the given store counter.
func newListing(counter uint64, resources ...declarer.Resource) reviser.Listing {
	return reviser.Listing{LowestCounter: counter, HighestCounter: counter, Resources: resources}
}

func TestPublisherWritesPartsThenHeadThenStatuses(t *testing.T) {
	publisher := reviser.NewPublisher()
	assert.Equal(t, formatActions(publisher.OnListing(startTime, newListing(5, newClass("chat", 0)))), "", "a listing without the lease is ignored")
	assert.Equal(t, formatActions(publisher.OnLeaseAcquired(startTime, 7)), "load")
	assert.Equal(t, formatActions(publisher.OnListing(startTime, newListing(5, newClass("chat", 0), newClass("slow", 9)))), "")
	parts := publisher.OnHeadLoaded(startTime, reviser.StoredHead{})
	assert.Equal(t, formatActions(parts), "part")
	hash := parts[0].(reviser.WritePart).Part.Hash
	publisher.OnPartWriteFailed(startTime, hash)
	assert.Equal(t, formatActions(publisher.Tick(startTime.Add(time.Second))), "part", "a part whose write is in doubt is written again")
	heads := publisher.OnPartWritten(startTime, hash)
	assert.Equal(t, formatActions(heads), "head 1 over 0")
	assert.Equal(t, heads[0].(reviser.WriteHead).Head.Fence, uint64(7))
	assert.Equal(t, formatActions(publisher.OnHeadWritten(startTime, 1, 6)), "ServiceClass/chat true 1, ServiceClass/slow false 1")
	accepted := reviser.Status{Accepted: true, RevisionNumber: 1, Generation: 1}
	assert.Equal(t, formatActions(publisher.OnStatusWritten(startTime, declarer.Key{Kind: "ServiceClass", Name: "chat"}, accepted)), "")
	publisher.OnStatusWriteFailed(startTime, declarer.Key{Kind: "ServiceClass", Name: "slow"}, false)
	assert.Equal(t, formatActions(publisher.Tick(startTime.Add(2*time.Second))), "ServiceClass/slow false 1", "only the status whose write failed is written again")

	assert.Equal(t, formatActions(publisher.OnListing(startTime, newListing(4, newClass("chat", 1)))), "refuse 0 the listing is older than one that was seen")
	assert.Equal(t, formatActions(publisher.OnListing(startTime, newListing(8))), "refuse 0 the listing is empty, the revision in force is not")
	assert.Equal(t, formatActions(publisher.DeleteUnusedParts(map[string]uint64{hash: 3, "old": 2})), "delete old")
	publisher.OnLeaseLost()
	assert.Equal(t, formatActions(publisher.Tick(startTime.Add(time.Hour))), "")
	assert.Equal(t, formatActions(publisher.DeleteUnusedParts(map[string]uint64{"old": 2})), "")
}

// Queued statuses are written at the permitted rate, and the status of a later change
// does not wait behind them.
func TestPublisherLimitsStatusRateAndWritesNewChangesFirst(t *testing.T) {
	publisher := reviser.NewPublisher()
	publisher.OnLeaseAcquired(startTime, 1)
	publisher.OnHeadLoaded(startTime, reviser.StoredHead{})
	resources, now := newConfiguration(400), startTime
	var writtenNames []string
	statuses := make(map[declarer.Key]reviser.Status)
	var perform func(actions []reviser.Action)
	perform = func(actions []reviser.Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case reviser.WritePart:
				perform(publisher.OnPartWritten(now, action.Part.Hash))
			case reviser.WriteHead:
				perform(publisher.OnHeadWritten(now, action.Head.Number, action.Head.Number))
			case reviser.WriteStatus:
				writtenNames = append(writtenNames, action.Key.Name)
				statuses[action.Key] = action.Status
				perform(publisher.OnStatusWritten(now, action.Key, action.Status))
			}
		}
	}
	perform(publisher.OnListing(now, newListing(1, resources...)))
	assert.Equal(t, len(writtenNames), reviser.MaxStatusBurst)
	now = startTime.Add(time.Second)
	resources[3] = newWorkspace(0, 2)
	changed := newListing(2, resources...)
	changed.Statuses = statuses
	perform(publisher.OnListing(now, changed))
	assert.Equal(t, writtenNames[reviser.MaxStatusBurst], "workspace-000000")
	for len(writtenNames) < 404 {
		now = now.Add(100 * time.Millisecond)
		perform(publisher.Tick(now))
	}
	assert.Equal(t, now.Sub(startTime), 7*time.Second+100*time.Millisecond)
}

// A resource that was deleted and created again starts at generation 1 and has no
// status. Its status is written, although that of an equal generation was written before.
func TestPublisherWritesStatusOfRecreatedResource(t *testing.T) {
	publisher := reviser.NewPublisher()
	publisher.OnLeaseAcquired(startTime, 1)
	publisher.OnHeadLoaded(startTime, reviser.StoredHead{})
	parts := publisher.OnListing(startTime, newListing(1, newClass("chat", 0)))
	publisher.OnPartWritten(startTime, parts[0].(reviser.WritePart).Part.Hash)
	write := publisher.OnHeadWritten(startTime, 1, 2)[0].(reviser.WriteStatus)
	publisher.OnStatusWritten(startTime, write.Key, write.Status)
	assert.Equal(t, formatActions(publisher.OnListing(startTime, newListing(9, newClass("chat", 0)))), "ServiceClass/chat true 1")
	listing := newListing(10, newClass("chat", 0))
	listing.Statuses = map[declarer.Key]reviser.Status{write.Key: write.Status}
	publisher.OnStatusWritten(startTime, write.Key, write.Status)
	assert.Equal(t, formatActions(publisher.OnListing(startTime, listing)), "", "nothing is written once the listing contains the status")
}

// If the store lost its head or was restored to an older state, the next revision is
// compiled from the one in force on this instance and gets a higher number.
func TestPublisherUsesHigherNumberAfterLostHead(t *testing.T) {
	first, _ := reviser.Compile(reviser.Revision{}, []declarer.Resource{newClass("chat", 0)})
	second, _ := reviser.Compile(first, []declarer.Resource{newClass("chat", 1)})
	publisher := reviser.NewPublisher()
	publisher.OnRevisionApplied(second)
	publisher.OnLeaseAcquired(startTime, 1)
	assert.Equal(t, formatActions(publisher.OnHeadLoaded(startTime, reviser.StoredHead{})), "")
	parts := publisher.OnListing(startTime, newListing(1, newClass("chat", 3)))
	assert.Equal(t, formatActions(publisher.OnPartWritten(startTime, parts[0].(reviser.WritePart).Part.Hash)), "head 3 over 0")
	assert.Equal(t, formatActions(publisher.OnHeadWriteFailed(startTime)), "load", "the head is read to find which write took effect")
	assert.Equal(t, formatActions(publisher.Tick(startTime.Add(reviser.AnswerTimeout))), "load", "a read without an answer is repeated")

	restored := reviser.StoredHead{Version: 3, Head: headOf(first), Revision: first}
	publisher.OnHeadLoaded(startTime, reviser.StoredHead{Version: 9, Head: headOf(first), Revision: first})
	publisher.OnPartWritten(startTime, parts[0].(reviser.WritePart).Part.Hash)
	assert.Equal(t, formatActions(publisher.OnHeadWriteConflict(startTime)), "load")
	assert.Equal(t, formatActions(publisher.OnHeadLoaded(startTime, restored)), "part", "the store was restored to an older state while the head was written")
	assert.Equal(t, formatActions(publisher.OnPartWritten(startTime, parts[0].(reviser.WritePart).Part.Hash)), "head 3 over 3")
}

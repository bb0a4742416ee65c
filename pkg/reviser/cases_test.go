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

var start = time.Unix(1000, 0)

// script shows actions on one line.
func script(actions []reviser.Action) string {
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

func TestApplierTakesABadPartFromElsewhere(t *testing.T) {
	revision, _ := reviser.Compile(reviser.Revision{}, plan(3))
	part := revision.Parts[0]
	a := reviser.New()
	assert.Equal(t, script(a.ReceiveHead(start, head(revision), "peer")), "fetch peer")
	assert.Equal(t, script(a.ReceiveHead(start, head(revision), "other")), "")
	bad := reviser.Part{Hash: part.Hash, Contents: []byte("[]")}
	assert.Equal(t, script(a.OnPartFetched(start, bad)), "refuse 0 the contents of part "+part.Hash+" do not fit its hash, fetch other")
	a.OnPartFetchFailed(start, part.Hash)
	assert.Equal(t, script(a.Tick(start)), "")
	assert.Equal(t, script(a.Tick(start.Add(reviser.FetchTimeout))), "fetch peer")
	assert.Equal(t, script(a.OnPartFetched(start, part)), "apply 1")
	assert.Equal(t, script(a.OnPartFetched(start, part)), "", "a late copy is ignored")
	kept, found := a.Part(part.Hash)
	assert.Assert(t, found && kept.Intact(), "peers get the part from here")

	fork := reviser.Head{Number: 1, PartHashes: []string{"x"}}
	assert.Equal(t, script(a.ReceiveHead(start, fork, "peer")), "refuse 1 another revision with this number is in force")
	assert.Equal(t, script(a.ReceiveHead(start, head(revision), "peer")), "")
}

func TestApplierRefusesOnceWhatItCannotRead(t *testing.T) {
	future := reviser.NewPart([]byte(`[{"kind":"Gateway","name":"g","spec":{}}]`))
	two := reviser.Head{Number: 2, PartHashes: []string{future.Hash}}
	a := reviser.New()
	assert.Equal(t, script(a.ReceiveHead(start, two, "peer")), "fetch peer")
	assert.Assert(t, strings.HasPrefix(script(a.OnPartFetched(start, future)), "refuse 2 part "))
	assert.Equal(t, script(a.ReceiveHead(start, two, "peer")), "", "it is not fetched again and again")
	first, _ := reviser.Compile(reviser.Revision{}, plan(1))
	a.ReceiveHead(start, head(first), "peer")
	assert.Equal(t, script(a.OnPartFetched(start, first.Parts[0])), "apply 1", "a lower one that can be read is applied")
}

func TestApplierBounds(t *testing.T) {
	a := reviser.New()
	for number := range uint64(10) {
		offered := reviser.Head{Number: number + 1}
		for part := range 100 {
			offered.PartHashes = append(offered.PartHashes, fmt.Sprint(number, "-", part))
		}
		assert.Equal(t, len(a.ReceiveHead(start, offered, reviser.SourceStore)), reviser.MaximumFetches)
	}
	assert.Equal(t, len(a.Tick(start.Add(time.Hour))), reviser.MaximumPending*reviser.MaximumFetches)
	large := reviser.Head{Number: 99, PartHashes: make([]string, reviser.MaximumParts+1)}
	assert.Equal(t, script(a.ReceiveHead(start, large, "peer")), "refuse 99 4097 parts are more than 4096")
}

// A head whose parts are nowhere to be had does not hold up a lower one.
func TestApplierMissingPartsHoldUpNothing(t *testing.T) {
	lost := reviser.Head{Number: 2}
	for part := range 2 * reviser.MaximumFetches {
		lost.PartHashes = append(lost.PartHashes, fmt.Sprint(part))
	}
	first, _ := reviser.Compile(reviser.Revision{}, plan(1))
	a := reviser.New()
	a.ReceiveHead(start, lost, "peer")
	assert.Equal(t, script(a.ReceiveHead(start, head(first), "peer")), "fetch peer")
	assert.Equal(t, script(a.OnPartFetched(start, first.Parts[0])), "apply 1")
}

func listing(counter uint64, resources ...declarer.Resource) reviser.Listing {
	return reviser.Listing{LowestCounter: counter, HighestCounter: counter, Resources: resources}
}

func TestPublisherWritesInOrder(t *testing.T) {
	p := reviser.NewPublisher()
	assert.Equal(t, script(p.OnListing(start, listing(5, class("chat", 0)))), "", "nothing without the lease")
	assert.Equal(t, script(p.OnLeaseAcquired(start, 7)), "load")
	assert.Equal(t, script(p.OnListing(start, listing(5, class("chat", 0), class("slow", 9)))), "")
	parts := p.OnHeadLoaded(start, reviser.StoredHead{})
	assert.Equal(t, script(parts), "part")
	hash := parts[0].(reviser.WritePart).Part.Hash
	p.OnPartWriteFailed(start, hash)
	assert.Equal(t, script(p.Tick(start.Add(time.Second))), "part", "an uncertain part is written again")
	heads := p.OnPartWritten(start, hash)
	assert.Equal(t, script(heads), "head 1 over 0")
	assert.Equal(t, heads[0].(reviser.WriteHead).Head.Fence, uint64(7))
	assert.Equal(t, script(p.OnHeadWritten(start, 1, 6)), "ServiceClass/chat true 1, ServiceClass/slow false 1")
	told := reviser.Status{Accepted: true, RevisionNumber: 1, Generation: 1}
	assert.Equal(t, script(p.OnStatusWritten(start, declarer.Key{Kind: "ServiceClass", Name: "chat"}, told)), "")
	p.OnStatusWriteFailed(start, declarer.Key{Kind: "ServiceClass", Name: "slow"}, false)
	assert.Equal(t, script(p.Tick(start.Add(2*time.Second))), "ServiceClass/slow false 1", "only the unwritten one again")

	assert.Equal(t, script(p.OnListing(start, listing(4, class("chat", 1)))), "refuse 0 the listing is older than one that was seen")
	assert.Equal(t, script(p.OnListing(start, listing(8))), "refuse 0 the listing is empty, the revision in force is not")
	assert.Equal(t, script(p.DeleteUnusedParts(map[string]uint64{hash: 3, "old": 2})), "delete old")
	p.OnLeaseLost()
	assert.Equal(t, script(p.Tick(start.Add(time.Hour))), "")
	assert.Equal(t, script(p.DeleteUnusedParts(map[string]uint64{"old": 2})), "")
}

// Many statuses keep to the rate, and a later change does not wait for them.
func TestPublisherPacesStatuses(t *testing.T) {
	p := reviser.NewPublisher()
	p.OnLeaseAcquired(start, 1)
	p.OnHeadLoaded(start, reviser.StoredHead{})
	resources, now := plan(400), start
	var names []string
	statuses := make(map[declarer.Key]reviser.Status)
	var carry func(actions []reviser.Action)
	carry = func(actions []reviser.Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case reviser.WritePart:
				carry(p.OnPartWritten(now, action.Part.Hash))
			case reviser.WriteHead:
				carry(p.OnHeadWritten(now, action.Head.Number, action.Head.Number))
			case reviser.WriteStatus:
				names = append(names, action.Key.Name)
				statuses[action.Key] = action.Status
				carry(p.OnStatusWritten(now, action.Key, action.Status))
			}
		}
	}
	carry(p.OnListing(now, listing(1, resources...)))
	assert.Equal(t, len(names), reviser.StatusBurst)
	now = start.Add(time.Second)
	resources[3] = workspace(0, 2)
	changed := listing(2, resources...)
	changed.Statuses = statuses
	carry(p.OnListing(now, changed))
	assert.Equal(t, names[reviser.StatusBurst], "workspace-000000")
	for len(names) < 404 {
		now = now.Add(100 * time.Millisecond)
		carry(p.Tick(now))
	}
	assert.Equal(t, now.Sub(start), 7*time.Second+100*time.Millisecond)
}

// A resource that was deleted and written anew begins at generation 1 again and
// has no status: it gets one, though its generation was told before.
func TestPublisherTellsARecreatedResource(t *testing.T) {
	p := reviser.NewPublisher()
	p.OnLeaseAcquired(start, 1)
	p.OnHeadLoaded(start, reviser.StoredHead{})
	parts := p.OnListing(start, listing(1, class("chat", 0)))
	p.OnPartWritten(start, parts[0].(reviser.WritePart).Part.Hash)
	told := p.OnHeadWritten(start, 1, 2)[0].(reviser.WriteStatus)
	p.OnStatusWritten(start, told.Key, told.Status)
	assert.Equal(t, script(p.OnListing(start, listing(9, class("chat", 0)))), "ServiceClass/chat true 1")
	seen := listing(10, class("chat", 0))
	seen.Statuses = map[declarer.Key]reviser.Status{told.Key: told.Status}
	p.OnStatusWritten(start, told.Key, told.Status)
	assert.Equal(t, script(p.OnListing(start, seen)), "", "at rest once the listing shows it")
}

// The store lost its head, or was set back: what instances have in force is
// built upon, with a higher number.
func TestPublisherAfterALostHead(t *testing.T) {
	first, _ := reviser.Compile(reviser.Revision{}, []declarer.Resource{class("chat", 0)})
	second, _ := reviser.Compile(first, []declarer.Resource{class("chat", 1)})
	p := reviser.NewPublisher()
	p.OnRevisionApplied(second)
	p.OnLeaseAcquired(start, 1)
	assert.Equal(t, script(p.OnHeadLoaded(start, reviser.StoredHead{})), "")
	parts := p.OnListing(start, listing(1, class("chat", 3)))
	assert.Equal(t, script(p.OnPartWritten(start, parts[0].(reviser.WritePart).Part.Hash)), "head 3 over 0")
	assert.Equal(t, script(p.OnHeadWriteFailed(start)), "load", "what took effect is read back")
	assert.Equal(t, script(p.Tick(start.Add(reviser.AnswerTimeout))), "load", "a lost load is repeated")

	older := reviser.StoredHead{Version: 3, Head: head(first), Revision: first}
	p.OnHeadLoaded(start, reviser.StoredHead{Version: 9, Head: head(first), Revision: first})
	p.OnPartWritten(start, parts[0].(reviser.WritePart).Part.Hash)
	assert.Equal(t, script(p.OnHeadWriteConflict(start)), "load")
	assert.Equal(t, script(p.OnHeadLoaded(start, older)), "part", "the store was set back under our eyes")
	assert.Equal(t, script(p.OnPartWritten(start, parts[0].(reviser.WritePart).Part.Hash)), "head 3 over 3")
}

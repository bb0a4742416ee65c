package keeper

import (
	"slices"
	"strings"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/storer"
)

// instanceListing is the instance list from a time on, until the next one.
type instanceListing struct {
	instances []storer.Instance
	validFrom time.Time
}

// RegisterInstance adds an instance to the instance list or replaces the one of its
// name. An empty state becomes storer.StateLive.
func (k *Keeper) RegisterInstance(instance storer.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if instance.State == "" {
		instance.State = storer.StateLive
	}
	k.appendInstanceListing(append(k.instancesExcept(instance.Name), instance))
}

// DeregisterInstance removes an instance from the instance list, if it is there.
func (k *Keeper) DeregisterInstance(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.appendInstanceListing(k.instancesExcept(name))
}

// Instances returns the instance list as callers see it now: without the changes that are
// younger than the instance lag.
func (k *Keeper) Instances() []storer.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()

	lag := k.settings.InstanceLag
	if k.faults.InstanceLag > 0 {
		lag = k.faults.InstanceLag
	}
	at := time.Now().Add(-lag)
	for _, listing := range slices.Backward(k.instanceListings) {
		if !listing.validFrom.After(at) {
			return slices.Clone(listing.instances)
		}
	}

	return []storer.Instance{}
}

// instancesExcept returns a copy of the newest instance list without the named instance.
func (k *Keeper) instancesExcept(name string) []storer.Instance {
	remaining := []storer.Instance{}
	if len(k.instanceListings) == 0 {
		return remaining
	}
	for _, instance := range k.instanceListings[len(k.instanceListings)-1].instances {
		if instance.Name != name {
			remaining = append(remaining, instance)
		}
	}

	return remaining
}

// appendInstanceListing makes a list, sorted by name, the newest instance list and drops
// the oldest beyond maxInstanceListings.
func (k *Keeper) appendInstanceListing(instances []storer.Instance) {
	slices.SortFunc(instances, func(a, b storer.Instance) int { return strings.Compare(a.Name, b.Name) })
	k.instanceListings = append(k.instanceListings, instanceListing{instances: instances, validFrom: time.Now()})
	if len(k.instanceListings) > maxInstanceListings {
		k.instanceListings = slices.Delete(k.instanceListings, 0, 1)
	}
}

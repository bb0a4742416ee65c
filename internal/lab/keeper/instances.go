package keeper

import (
	"slices"
	"strings"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/storer"
)

// listing is the instance list from a time on.
type listing struct {
	instances []storer.Instance
	from      time.Time
}

// RegisterInstance adds or replaces an instance in the instance list.
func (k *Keeper) RegisterInstance(instance storer.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if instance.State == "" {
		instance.State = storer.StateLive
	}
	k.publish(append(k.without(instance.Name), instance))
}

// Deregister removes an instance from the instance list.
func (k *Keeper) Deregister(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.publish(k.without(name))
}

// Instances returns the instance list as callers see it now.
func (k *Keeper) Instances() []storer.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()

	lag := k.settings.InstanceLag
	if k.faults.InstanceLag > 0 {
		lag = k.faults.InstanceLag
	}
	at := time.Now().Add(-lag)
	for _, listed := range slices.Backward(k.instances) {
		if !listed.from.After(at) {
			return slices.Clone(listed.instances)
		}
	}

	return []storer.Instance{}
}

// without returns a copy of the newest list less one instance.
func (k *Keeper) without(name string) []storer.Instance {
	kept := []storer.Instance{}
	if len(k.instances) == 0 {
		return kept
	}
	for _, instance := range k.instances[len(k.instances)-1].instances {
		if instance.Name != name {
			kept = append(kept, instance)
		}
	}

	return kept
}

func (k *Keeper) publish(instances []storer.Instance) {
	slices.SortFunc(instances, func(a, b storer.Instance) int { return strings.Compare(a.Name, b.Name) })
	k.instances = append(k.instances, listing{instances: instances, from: time.Now()})
	if len(k.instances) > instanceHistory {
		k.instances = slices.Delete(k.instances, 0, 1)
	}
}

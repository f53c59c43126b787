package membership

import (
	"cmp"
	"slices"
)

// fanout is the number of instances of its zone that each instance forwards a message to.
// Three hops within a zone reach 85 instances.
const fanout = 4

// Children returns the instances to which this one forwards a broadcast of origin. The
// origin sends it to one instance of each other availability zone, and the instances of a
// zone forward it along a tree that depends on the origin: a broadcast is sent to each
// zone once, and the load is spread over all instances.
func (t *Table) Children(origin string) []Record { return t.ChildrenOf(origin, t.Self().ID) }

// ChildrenOf returns the children of another instance that can't be reached, so that a
// broadcast can skip it.
func (t *Table) ChildrenOf(origin, id string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := origin + "\n" + id
	children, ok := t.cache.children[key]
	if !ok {
		children = t.children(origin, id)
		t.cache.children[key] = children
	}
	return children
}

func (t *Table) children(origin, id string) []Record {
	r, ok := t.record(id)
	if !ok {
		return nil
	}
	own := t.zoneOrder(origin, r.Zone)
	var children []Record
	if at := slices.IndexFunc(own, func(m member) bool { return m.record.ID == id }); at >= 0 {
		first := at*fanout + 1
		for _, m := range own[min(first, len(own)):min(first+fanout, len(own))] {
			children = append(children, *m.record)
		}
	}
	if id != origin {
		return children
	}
	for _, zone := range t.zones() {
		if zone == r.Zone {
			continue
		}
		if order := t.zoneOrder(origin, zone); len(order) > 0 {
			children = append(children, *order[0].record)
		}
	}
	return children
}

func (t *Table) record(id string) (*Record, bool) {
	if id == t.self.ID {
		return &t.self.Record, true
	}
	e, ok := t.others[id]
	if !ok {
		return nil, false
	}
	return &e.Record, true
}

// member is an instance with its weight in the order of a tree.
type member struct {
	record *Record
	weight uint64
}

// zoneOrder returns the running instances of a zone in an order that depends on the origin
// and starts with it.
func (t *Table) zoneOrder(origin, zone string) []member {
	var members []member
	add := func(r *Record) {
		if r.Zone != zone || r.Down && r.ID != origin {
			return
		}
		w := weight(origin, r.ID)
		if r.ID == origin {
			w = 0
		}
		members = append(members, member{r, w})
	}
	add(&t.self.Record)
	for _, e := range t.others {
		add(&e.Record)
	}
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(a.weight, b.weight) })
	return members
}

func (t *Table) zones() []string {
	zones := []string{t.self.Zone}
	for _, e := range t.others {
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

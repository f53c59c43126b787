package membership

import (
	"cmp"
	"slices"
)

// fanout is how many instances of its zone each passes a message on to. Three
// hops within a zone reach 85 instances.
const fanout = 4

// Children returns the instances to which this one passes on a message of
// origin's. Origin tells one instance of each other availability zone, and each
// zone passes a message on among its own instances, along a tree of the origin's
// own: a message crosses to each zone once, and no instance bears the load of
// many.
func (t *Table) Children(origin string) []Record { return t.ChildrenOf(origin, t.Self().ID) }

// ChildrenOf returns the children of another instance, for the case that it
// can't be reached and its children have to be told past it.
func (t *Table) ChildrenOf(origin, id string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := origin + "\n" + id
	children, ok := t.derived.children[key]
	if !ok {
		children = t.children(origin, id)
		t.derived.children[key] = children
	}
	return children
}

func (t *Table) children(origin, id string) []Record {
	r, ok := t.record(id)
	if !ok {
		return nil
	}
	own := t.branch(origin, r.Zone)
	var children []Record
	if at := slices.IndexFunc(own, func(m Record) bool { return m.ID == id }); at >= 0 {
		first := at*fanout + 1
		children = slices.Clone(own[min(first, len(own)):min(first+fanout, len(own))])
	}
	if id != origin {
		return children
	}
	for _, zone := range t.zones() {
		if zone == r.Zone {
			continue
		}
		if branch := t.branch(origin, zone); len(branch) > 0 {
			children = append(children, branch[0])
		}
	}
	return children
}

func (t *Table) record(id string) (*Record, bool) {
	if id == t.self.ID {
		return &t.self.Record, true
	}
	e, ok := t.rest[id]
	if !ok {
		return nil, false
	}
	return &e.Record, true
}

// branch returns the instances of a zone that run, in an order of the origin's
// own that begins with the origin.
func (t *Table) branch(origin, zone string) []Record {
	type member struct {
		record *Record
		weight uint64
	}
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
	for _, e := range t.rest {
		add(&e.Record)
	}
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(a.weight, b.weight) })
	out := make([]Record, len(members))
	for i, m := range members {
		out[i] = *m.record
	}
	return out
}

func (t *Table) zones() []string {
	zones := []string{t.self.Zone}
	for _, e := range t.rest {
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

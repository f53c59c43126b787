package queue

import "slices"

// workspaceQueue is the queue of one workspace and class, by [Item.Order] or in order
// of arrival.
type workspaceQueue struct {
	workspace string
	items     []*Item
	// finish is the virtual time by which the heap is ordered.
	finish float64
	index  int
}

// queueHeap is a heap ordered by virtual time.
type queueHeap []*workspaceQueue

func (l queueHeap) Len() int           { return len(l) }
func (l queueHeap) Less(i, j int) bool { return l[i].finish < l[j].finish }
func (l queueHeap) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push implements heap.Interface.
func (l *queueHeap) Push(x any) {
	ln := x.(*workspaceQueue)
	ln.index = len(*l)
	*l = append(*l, ln)
}

// Pop implements heap.Interface.
func (l *queueHeap) Pop() any {
	old := *l
	ln := old[len(old)-1]
	*l = old[:len(old)-1]
	return ln
}

// classQueue holds the workspace queues of one class of work.
type classQueue struct {
	heap        queueHeap
	byWorkspace map[string]*workspaceQueue
	items       int
}

func (l *workspaceQueue) skipRemoved() {
	for len(l.items) > 0 && l.items[0].removed {
		l.items = l.items[1:]
	}
}

// insert adds an item behind those that precede it.
func (l *workspaceQueue) insert(it *Item) {
	at := len(l.items)
	for !it.Order.IsZero() && at > 0 && l.items[at-1].Order.After(it.Order) {
		at--
	}
	l.items = slices.Insert(l.items, at, it)
}

// position returns how many items are, or would be, queued before it.
func (l *workspaceQueue) position(it *Item) int {
	n := 0
	for _, other := range l.items {
		if other == it || other.Order.After(it.Order) {
			break
		}
		if !other.removed {
			n++
		}
	}
	return n
}

package queue

// workspaceQueue is the queue of one workspace and class, in order of arrival.
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

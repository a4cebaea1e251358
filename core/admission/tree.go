package admission

// node is one flow's entry in a tree. Its key must not change while linked.
type node struct {
	flow     *flow
	key      float64
	tie      uint64
	priority uint64
	linked   bool
	own      sums
	total    sums
	left     *node
	right    *node
}

// sums aggregates the entries of a subtree.
type sums struct {
	weight   float64 // sum of the workspace weights
	weighted float64 // sum of weight times key
	head     float64 // sum of the costs of the flows' first requests
	demand   float64 // sum of the flows' arrival rates, tokens a second
}

func (s *sums) add(o sums) {
	s.weight += o.weight
	s.weighted += o.weighted
	s.head += o.head
	s.demand += o.demand
}

func (n *node) less(o *node) bool {
	if n.key != o.key {
		return n.key < o.key
	}
	return n.tie < o.tie
}

// pull recomputes the aggregate of n from its children.
func (n *node) pull() {
	n.total = n.own
	if n.left != nil {
		n.total.add(n.left.total)
	}
	if n.right != nil {
		n.total.add(n.right.total)
	}
}

// tree is a treap (Seidel and Aragon, 1996) of flows ordered by key and tie,
// with aggregates. Every operation takes O(log n) expected time.
type tree struct {
	root *node
}

// set links n under key, moves it there, or unlinks it.
func (t *tree) set(n *node, linked bool, key float64, tie uint64) {
	own := sums{}
	if linked {
		f := n.flow
		w := f.workspace.policy.Weight
		own = sums{weight: w, weighted: w * key, head: f.head().cost, demand: f.demand.rate(f.demand.last)}
	}
	if linked == n.linked && (!linked || key == n.key && tie == n.tie && own == n.own) {
		return
	}
	if n.linked {
		t.root = remove(t.root, n)
	}
	n.linked = linked
	if !linked {
		return
	}
	n.key, n.tie, n.own = key, tie, own
	n.left, n.right = nil, nil
	n.pull()
	low, high := split(t.root, n)
	t.root = merge(merge(low, n), high)
}

// min returns the flow with the smallest key, or nil.
func (t *tree) min() *flow {
	if t.root == nil {
		return nil
	}
	n := t.root
	for n.left != nil {
		n = n.left
	}
	return n.flow
}

// max returns the flow with the largest key, or nil.
func (t *tree) max() *flow {
	if t.root == nil {
		return nil
	}
	n := t.root
	for n.right != nil {
		n = n.right
	}
	return n.flow
}

// total aggregates all entries.
func (t *tree) total() sums {
	if t.root == nil {
		return sums{}
	}
	return t.root.total
}

// upTo aggregates the entries whose key is at most key.
func (t *tree) upTo(key float64) sums {
	var s sums
	for n := t.root; n != nil; {
		if n.key > key {
			n = n.left
			continue
		}
		s.add(n.own)
		if n.left != nil {
			s.add(n.left.total)
		}
		n = n.right
	}
	return s
}

// split returns the entries of t before at and the others.
func split(t, at *node) (low, high *node) {
	if t == nil {
		return nil, nil
	}
	if t.less(at) {
		t.right, high = split(t.right, at)
		t.pull()
		return t, high
	}
	low, t.left = split(t.left, at)
	t.pull()
	return low, t
}

// merge joins two trees; all entries of low come before those of high.
func merge(low, high *node) *node {
	if low == nil {
		return high
	}
	if high == nil {
		return low
	}
	if low.priority > high.priority {
		low.right = merge(low.right, high)
		low.pull()
		return low
	}
	high.left = merge(low, high.left)
	high.pull()
	return high
}

// remove returns t without n, which it must contain.
func remove(t, n *node) *node {
	if t == n {
		return merge(t.left, t.right)
	}
	if n.less(t) {
		t.left = remove(t.left, n)
	} else {
		t.right = remove(t.right, n)
	}
	t.pull()
	return t
}

// scramble is the SplitMix64 finaliser. It gives tree nodes their priorities.
func scramble(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

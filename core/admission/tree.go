package admission

// node is the entry of one flow in a tree. Its key must not change while it is linked.
type node struct {
	flow     *flow
	key      float64
	tie      uint64
	priority uint64
	linked   bool
	own      aggregate
	total    aggregate
	left     *node
	right    *node
}

// aggregate holds sums over the entries of a subtree.
type aggregate struct {
	weight      float64 // sum of the workspace weights
	weightedKey float64 // sum of weight times key
	headCost    float64 // sum of the costs of the flows' head requests
	demand      float64 // sum of the flows' arrival rates, tokens per second
}

func (a *aggregate) add(o aggregate) {
	a.weight += o.weight
	a.weightedKey += o.weightedKey
	a.headCost += o.headCost
	a.demand += o.demand
}

func (n *node) less(o *node) bool {
	if n.key != o.key {
		return n.key < o.key
	}
	return n.tie < o.tie
}

// updateTotal recomputes the aggregate of the subtree of n from its children.
func (n *node) updateTotal() {
	n.total = n.own
	if n.left != nil {
		n.total.add(n.left.total)
	}
	if n.right != nil {
		n.total.add(n.right.total)
	}
}

// tree is a treap (Seidel and Aragon, 1996) of flows ordered by key, then tie, with
// subtree aggregates. Every operation takes O(log n) expected time.
type tree struct {
	root *node
}

// set inserts n under key, moves it there if it is linked already, or removes it if
// linked is false.
func (t *tree) set(n *node, linked bool, key float64, tie uint64) {
	own := aggregate{}
	if linked {
		f := n.flow
		w := f.workspace.policy.Weight
		own = aggregate{weight: w, weightedKey: w * key, headCost: f.head().cost, demand: f.demand.rate(f.demand.last)}
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
	n.updateTotal()
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

// total returns the aggregate of all entries.
func (t *tree) total() aggregate {
	if t.root == nil {
		return aggregate{}
	}
	return t.root.total
}

// upTo returns the aggregate of the entries whose key is at most key.
func (t *tree) upTo(key float64) aggregate {
	var sum aggregate
	for n := t.root; n != nil; {
		if n.key > key {
			n = n.left
			continue
		}
		sum.add(n.own)
		if n.left != nil {
			sum.add(n.left.total)
		}
		n = n.right
	}
	return sum
}

// split divides t into the entries ordered before at and the others.
func split(t, at *node) (low, high *node) {
	if t == nil {
		return nil, nil
	}
	if t.less(at) {
		t.right, high = split(t.right, at)
		t.updateTotal()
		return t, high
	}
	low, t.left = split(t.left, at)
	t.updateTotal()
	return low, t
}

// merge joins two trees. All entries of low must be ordered before those of high.
func merge(low, high *node) *node {
	if low == nil {
		return high
	}
	if high == nil {
		return low
	}
	if low.priority > high.priority {
		low.right = merge(low.right, high)
		low.updateTotal()
		return low
	}
	high.left = merge(low, high.left)
	high.updateTotal()
	return high
}

// remove returns t without n, which t must contain.
func remove(t, n *node) *node {
	if t == n {
		return merge(t.left, t.right)
	}
	if n.less(t) {
		t.left = remove(t.left, n)
	} else {
		t.right = remove(t.right, n)
	}
	t.updateTotal()
	return t
}

// splitMix64 is the finalizer of the SplitMix64 generator. It derives node priorities
// from flow IDs.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

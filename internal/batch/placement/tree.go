package placement

import "math"

// node is a worker's place in one tree. Nodes are ordered by free processors,
// then by the worker's serial number, and form a heap by priority.
type node struct {
	worker    *entry
	left      *node
	right     *node
	cores     int64 // free, in thousandths
	memory    int64 // free, in MB
	maxMemory int64 // of the subtree
	count     int32 // of the subtree
	priority  uint32
}

func (n *node) size() int32 {
	if n == nil {
		return 0
	}
	return n.count
}

func (n *node) most() int64 {
	if n == nil {
		return math.MinInt64
	}
	return n.maxMemory
}

func (n *node) refresh() {
	n.count = 1 + n.left.size() + n.right.size()
	n.maxMemory = max(n.memory, n.left.most(), n.right.most())
}

// before reports whether the node sorts before the given key.
func (n *node) before(cores int64, serial uint64) bool {
	if n.cores != cores {
		return n.cores < cores
	}
	return n.worker.serial < serial
}

// split parts a tree into the nodes before a key and the others.
func split(n *node, cores int64, serial uint64) (left, right *node) {
	if n == nil {
		return nil, nil
	}
	if n.before(cores, serial) {
		n.right, right = split(n.right, cores, serial)
		n.refresh()
		return n, right
	}
	left, n.left = split(n.left, cores, serial)
	n.refresh()
	return left, n
}

// merge joins two trees, all of left before all of right.
func merge(left, right *node) *node {
	if left == nil {
		return right
	}
	if right == nil {
		return left
	}
	if left.priority > right.priority {
		left.right = merge(left.right, right)
		left.refresh()
		return left
	}
	right.left = merge(left, right.left)
	right.refresh()
	return right
}

// insert adds a single node and returns the root.
func insert(root, added *node) *node {
	if root == nil || added.priority > root.priority {
		added.left, added.right = split(root, added.cores, added.worker.serial)
		added.refresh()
		return added
	}
	if root.before(added.cores, added.worker.serial) {
		root.right = insert(root.right, added)
	} else {
		root.left = insert(root.left, added)
	}
	root.refresh()
	return root
}

// remove takes a node out and returns the root.
func remove(root, gone *node) *node {
	if root == gone {
		joined := merge(gone.left, gone.right)
		gone.left, gone.right = nil, nil
		return joined
	}
	if root.before(gone.cores, gone.worker.serial) {
		root.right = remove(root.right, gone)
	} else {
		root.left = remove(root.left, gone)
	}
	root.refresh()
	return root
}

// rankOf returns how many nodes have fewer free processors.
func (n *node) rankOf(cores int64) int32 {
	rank := int32(0)
	for n != nil {
		if n.cores >= cores {
			n = n.left
			continue
		}
		rank += n.left.size() + 1
		n = n.right
	}
	return rank
}

// walk visits, in order from a rank on, each node with enough memory until
// visit returns false. A subtree wholly past the rank is entered only if it
// has such a node, so that each visit costs one descent.
func (n *node) walk(rank int32, memory int64, visit func(*node) bool) bool {
	if n == nil || n.maxMemory < memory || rank >= n.count {
		return true
	}
	before := n.left.size()
	if rank < before && !n.left.walk(rank, memory, visit) {
		return false
	}
	if rank <= before && n.memory >= memory && !visit(n) {
		return false
	}
	return n.right.walk(max(0, rank-before-1), memory, visit)
}

// first returns the first node from a rank on with enough memory.
func (n *node) first(rank int32, memory int64) *node {
	for n != nil && rank < n.count && n.maxMemory >= memory {
		before := n.left.size()
		if rank < before {
			if found := n.left.first(rank, memory); found != nil {
				return found
			}
		}
		if rank <= before && n.memory >= memory {
			return n
		}
		rank = max(0, rank-before-1)
		n = n.right
	}
	return nil
}

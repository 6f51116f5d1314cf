package agent

import (
	"slices"
	"strings"

	"orchidjunction/message"
)

const (
	// treeRoots daemons ask the leader itself; treeFanout daemons ask each other one.
	treeRoots  = 2
	treeFanout = 3
)

// relayTree is the order in which daemons relay updates, the same for all that hold one
// table: a heap in an array, sorted by name.
type relayTree []message.Member

func newRelayTree(table *message.Table) relayTree {
	tree := relayTree{}
	for _, member := range table.Members {
		if !member.Leaving {
			tree = append(tree, member)
		}
	}
	slices.SortFunc(tree, func(left, right message.Member) int { return strings.Compare(left.Name, right.Name) })
	return tree
}

// parents returns the daemons above one, the nearest first; none means the leader itself.
func (tree relayTree) parents(name string) []message.Member {
	index, found := slices.BinarySearchFunc(
		tree,
		name,
		func(member message.Member, name string) int { return strings.Compare(member.Name, name) },
	)
	if !found {
		return nil
	}
	parents := []message.Member{}
	for index >= treeRoots {
		index = (index - treeRoots) / treeFanout
		parents = append(parents, tree[index])
	}
	return parents
}

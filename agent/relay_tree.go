package agent

import (
	"slices"
	"strings"

	"orchidjunction/message"
)

const (
	// treeRoots daemons fetch updates from the leader; each daemon serves up to treeFanout others.
	treeRoots  = 2
	treeFanout = 3
)

// relayTree is the tree along which daemons relay updates, stored as an array heap of the
// members sorted by name. All daemons with the same table build the same tree.
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

// parents returns a daemon's ancestors, nearest first. A daemon without ancestors fetches from
// the leader.
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

package member

import (
	"orchidjunction/message"
	"sort"
)

const (
	treeRoots  = 2
	treeFanout = 3
)

// Tree is the relay order that every holder of one table reads alike.
type Tree []message.Member

func newTree(table *message.Table) Tree {
	tree := Tree{}
	for _, member := range table.Members {
		if !member.Leaving {
			tree = append(tree, member)
		}
	}
	sort.Slice(tree, func(left, right int) bool { return tree[left].Name < tree[right].Name })
	return tree
}

// parents lists whom a daemon asks, nearest first; none means the leader itself.
func (tree Tree) parents(name string) []message.Member {
	index := sort.Search(len(tree), func(index int) bool { return tree[index].Name >= name })
	if index == len(tree) || tree[index].Name != name {
		return nil
	}
	parents := []message.Member{}
	for index >= treeRoots {
		index = (index - treeRoots) / treeFanout
		parents = append(parents, tree[index])
	}
	return parents
}

//go:build !race

package control

const (
	modelDefaultWalks  = 600
	modelDefaultStates = 25000
	modelUseStartWalk  = false
)

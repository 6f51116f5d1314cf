//go:build race

package control

// The race detector slows the model down about tenfold.
const (
	modelDefaultWalks  = 40
	modelDefaultStates = 2000
	modelUseStartWalk  = true
)

//go:build !race

package control

const (
	modelDefaultWalks  = 1000
	modelDefaultStates = 60000
)

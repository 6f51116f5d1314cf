package simulation

import (
	"crypto/sha256"
	"encoding/hex"
)

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

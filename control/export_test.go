package control

// PackedFrame is a payload as it stands in a file.
func PackedFrame(payload []byte) []byte { return newFrame(payload) }

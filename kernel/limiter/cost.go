package limiter

const (
	// ConnectionCost is the memory of a connection without a request, in bytes: a goroutine
	// with its stack, and buffers for reading and writing.
	ConnectionCost = 32 << 10
	// headByteCost and headLineCost are the memory of a byte and of a line of a head while
	// its request is served: parsed, as the fields that are forwarded, and as the header
	// that is sent on. TestHeadCostCoversItsMemory measures them.
	headByteCost = 6
	headLineCost = 256
	// elementCost is the memory of an element of a decoded message that carries a head.
	elementCost = 160
)

// HeadCost returns the memory that a part of a request head takes at most while its request
// is served, in bytes.
func HeadCost(bytes, lines int) int64 {
	return int64(bytes)*headByteCost + int64(lines)*headLineCost
}

// MessageCost is like [HeadCost] for the message with the head of a request from another
// router. elements is the number of its values, at all levels.
func MessageCost(bytes, elements int) int64 {
	return int64(bytes)*headByteCost + int64(elements)*elementCost
}

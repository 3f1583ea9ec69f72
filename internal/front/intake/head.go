package intake

// headLines counts the lines of a head as its bytes arrive.
type headLines struct {
	// count is the number of lines, length that of the bytes of the line that is not complete.
	count, length int
	isOver        bool
}

// add adds bytes and returns the number of lines. What follows the empty line at the end of the head does
// not count, nor do empty lines before it.
func (h *headLines) add(data []byte) (count int) {
	for _, b := range data {
		switch {
		case h.isOver:
			return h.count
		case b == '\r':
		case b != '\n':
			h.length++
		case h.length > 0:
			h.count, h.length = h.count+1, 0
		default:
			h.isOver = h.count > 0
		}
	}
	return h.count
}

package limit

import "bytes"

// head counts the bytes and the lines of a request's head as they arrive.
type head struct {
	size    int // of the request line and the header lines, as sent
	lines   int
	line    int  // bytes of the present line so far
	cr      bool // the present line begins with a carriage return
	ended   bool // the empty line has arrived
	unknown bool // the beginning of the head was read with the request before
}

// maxLeading is the number of carriage returns and line feeds that net/http skips before a request.
const maxLeading = 4

// read counts bytes of a head, and returns those after its end.
func (h *head) read(b []byte) []byte {
	if h.ended {
		return b
	}
	if h.size == 0 && !h.unknown {
		for i := 0; i < maxLeading && len(b) > 0 && (b[0] == '\r' || b[0] == '\n'); i++ {
			b = b[1:]
		}
	}
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			h.addLine(b)
			return nil
		}
		h.addLine(b[:i])
		b = b[i+1:]
		if h.line == 0 || h.line == 1 && h.cr { // the empty line, which does not count
			h.size -= h.line
			h.ended = true
			return b
		}
		h.size++
		h.lines++
		h.line = 0
	}
	return nil
}

// addLine counts bytes of a line.
func (h *head) addLine(b []byte) {
	if h.line == 0 {
		h.cr = len(b) > 0 && b[0] == '\r'
	}
	h.size += len(b)
	h.line += len(b)
}

package front

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// The head of a request is buffered before it is parsed. Its size and number of lines tell how much
// memory it takes once it is parsed, which is many times its length if its lines are short.

var (
	errHeaderTooLarge = errors.New("request header too large")
	errNoMemory       = errors.New("no memory for the request header")
)

// headSize is the size of a head that is buffered.
type headSize struct {
	// length is in bytes, with the empty line at its end.
	length, lines int
	// lineStart is where the line begins that has not ended yet.
	lineStart int
}

// scan continues at the end of the lines that were counted and reports whether the head is complete.
func (s *headSize) scan(data []byte) bool {
	for {
		end := bytes.IndexByte(data[s.length:], '\n')
		if end < 0 {
			s.length = len(data)
			return false
		}
		line := data[s.lineStart : s.length+end]
		s.length += end + 1
		s.lineStart = s.length
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return true
		}
		s.lines++
	}
}

// bufferHead waits until the reader has buffered the head of the next request.
func (c *conn) bufferHead(limits *Limits) (size headSize, err error) {
	// A read may bring more than the head.
	longest := limits.MaxHeaderBytes + readBufferSize
	for {
		buffered := c.reader.Buffered()
		data, _ := c.reader.Peek(buffered)
		switch {
		case size.scan(data):
			return size, nil
		case buffered >= longest:
			return size, errHeaderTooLarge
		case buffered == c.reader.Size() && !c.growReader(min(2*buffered, longest)):
			return size, errNoMemory
		}
		c.stalls.wait(func() { _, err = c.reader.Peek(buffered + 1) })
		if err != nil {
			return size, err
		}
	}
}

// growReader replaces the reader by one with a larger buffer.
func (c *conn) growReader(bytes int) bool {
	if !c.account.Take(int64(bytes)) {
		return false
	}
	c.resizeReader(bytes)
	return true
}

// shrinkReader undoes growReader once the buffer of usual size takes what is buffered.
func (c *conn) shrinkReader() {
	if c.reader.Size() > readBufferSize && c.reader.Buffered() <= readBufferSize {
		c.resizeReader(readBufferSize)
	}
}

func (c *conn) resizeReader(size int) {
	if before := c.reader.Size(); before > readBufferSize {
		c.account.Return(int64(before))
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.raw), size)
}

// parseHead parses a head that is buffered. The status is that to reject the request with, or 0.
func (c *conn) parseHead(size headSize, limits *Limits) (r *http.Request, status int) {
	before := c.reader.Buffered()
	r, err := http.ReadRequest(c.reader)
	if err != nil || before-c.reader.Buffered() != size.length {
		// If the parser took another line for the end of the head, what it left would be read as another
		// request. No such line is known.
		return nil, http.StatusBadRequest
	}
	return r, validateRequest(r, limits)
}

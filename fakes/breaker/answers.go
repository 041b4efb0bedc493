package breaker

import "slices"

const (
	ok       = "HTTP/1.1 200 OK\r\n"
	twoBytes = "Content-Length: 2\r\n\r\n"
)

// Unread returns an answer that ends with its connection, which is closed before the body of the request
// has been read. Without such a body the answer is complete.
func Unread() Answer {
	return Answer{Name: "no length, closed unread", Head: ok + "\r\n", Body: "{}", Ending: CloseUnread}
}

// Incomplete returns answers that break off.
func Incomplete() []Answer {
	return []Answer{
		{Name: "no length, reset", Head: ok + "\r\n", Body: "{}", Ending: Reset},
		{Name: "other version, no length, reset", Head: "HTTP/2.0 200 OK\r\n\r\n", Body: "{}", Ending: Reset},
		{Name: "length, reset", Head: ok + "Content-Length: 3\r\n\r\n", Body: "{}", Ending: Reset},
		{Name: "length, closed", Head: ok + "Content-Length: 3\r\n\r\n", Body: "{}", Ending: Close},
		{
			Name: "chunks, reset", Head: ok + "Transfer-Encoding: chunked\r\n\r\n", Body: "2\r\n{}\r\n",
			Ending: Reset,
		},
		{
			Name: "chunks, closed", Head: ok + "Transfer-Encoding: chunked\r\n\r\n", Body: "2\r\n{}\r\n",
			Ending: Close,
		},
	}
}

// Early returns complete answers to a request that has not been read yet.
func Early() []Answer {
	const (
		refused = "HTTP/1.1 413 Content Too Large\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		chunks  = "2\r\n{}\r\n0\r\n\r\n"
	)
	return []Answer{
		{Name: "length, read", Head: refused + twoBytes, Body: "{}", Ending: Keep},
		{Name: "length, closed", Head: refused + twoBytes, Body: "{}", Ending: Close},
		{Name: "length, closed unread", Head: refused + twoBytes, Body: "{}", Ending: CloseUnread},
		{Name: "length, reset", Head: refused + twoBytes, Body: "{}", Ending: Reset},
		{Name: "length, not read", Head: refused + twoBytes, Body: "{}", Ending: Stall},
		{Name: "chunks, read", Head: refused + chunked, Body: chunks, Ending: Keep},
		{Name: "chunks, closed unread", Head: refused + chunked, Body: chunks, Ending: CloseUnread},
		{Name: "chunks, not read", Head: refused + chunked, Body: chunks, Ending: Stall},
		{Name: "no length, closed", Head: refused + "\r\n", Body: "{}", Ending: Close},
		{Name: "no length, ended and read", Head: refused + "\r\n", Body: "{}", Ending: CloseWrite},
	}
}

// Broken returns all answers that no client may use, whatever request it has sent.
func Broken() []Answer { return slices.Concat(Invalid(), Malformed(), Incomplete()) }

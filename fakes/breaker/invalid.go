package breaker

// Invalid returns answers that are not valid HTTP responses, but accepted by net/http.
func Invalid() []Answer { return append(invalidStatus(), invalidNames()...) }

// invalidStatus returns answers whose status is not one of a response to the request.
func invalidStatus() []Answer {
	return []Answer{
		{Name: "status 000", Head: "HTTP/1.1 000 Failure\r\n" + twoBytes, Body: "{}"},
		{Name: "status 000 without a body", Head: "HTTP/1.1 000 Failure\r\nContent-Length: 0\r\n\r\n"},
		{Name: "status 000 without a length", Head: "HTTP/1.1 000 Failure\r\n\r\n", Body: "{}", Ending: Close},
		{Name: "status 000 before another answer", Head: "HTTP/1.1 000 Failure\r\n\r\n" + ok + twoBytes, Body: "{}"},
		{Name: "status 099", Head: "HTTP/1.1 099 Failure\r\n" + twoBytes, Body: "{}"},
		{Name: "status with a sign", Head: "HTTP/1.1 +20 OK\r\n" + twoBytes, Body: "{}"},
		{
			Name: "other protocol", Head: "HTTP/1.1 101 Switching Protocols\r\n" +
				"Connection: upgrade\r\nUpgrade: other\r\n\r\n" + ok + twoBytes, Body: "{}",
		},
	}
}

// invalidNames returns answers with a field whose name has a blank.
func invalidNames() []Answer {
	return []Answer{
		{Name: "blank in a name", Head: ok + "A Field: 1\r\n" + twoBytes, Body: "{}"},
		{Name: "blank in a name without a body", Head: ok + "A Field: 1\r\nContent-Length: 0\r\n\r\n"},
		{Name: "blank behind a name", Head: ok + "Field : 1\r\n" + twoBytes, Body: "{}"},
		{Name: "blank behind the length", Head: ok + "Content-Length : 2\r\n\r\n", Body: "{} ", Ending: Close},
		{
			Name: "blank behind the coding", Head: ok + "Transfer-Encoding : chunked\r\n\r\n",
			Body: "2\r\n{}\r\n0\r\n\r\n", Ending: Close,
		},
		{
			Name: "blank in an informational response",
			Head: "HTTP/1.1 103 Early Hints\r\nA Field: 1\r\n\r\n" + ok + twoBytes, Body: "{}",
		},
		{
			Name: "blank in a trailer", Head: ok + "Transfer-Encoding: chunked\r\n\r\n",
			Body: "2\r\n{}\r\n0\r\nA Field: 1\r\n\r\n",
		},
	}
}

// Malformed returns answers with a field whose name is refused by net/http.
func Malformed() []Answer {
	return []Answer{
		{Name: "blank before the first name", Head: ok + " Field: 1\r\n" + twoBytes, Body: "{}"},
		{Name: "tab in a name", Head: ok + "A\tField: 1\r\n" + twoBytes, Body: "{}"},
		{Name: "null byte in a name", Head: ok + "A\x00Field: 1\r\n" + twoBytes, Body: "{}"},
		{Name: "control byte in a name", Head: ok + "A\x1bField: 1\r\n" + twoBytes, Body: "{}"},
		{Name: "delete byte in a name", Head: ok + "A\x7fField: 1\r\n" + twoBytes, Body: "{}"},
		{Name: "carriage return in a name", Head: ok + "A\rField: 1\r\n" + twoBytes, Body: "{}"},
		{Name: "empty name", Head: ok + ": 1\r\n" + twoBytes, Body: "{}"},
	}
}

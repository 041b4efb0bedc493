package breaker

// InvalidStatus returns answers whose status is not one of a response to the request.
func InvalidStatus() []Answer {
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

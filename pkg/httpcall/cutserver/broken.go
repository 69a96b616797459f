package cutserver

import "fmt"

// BrokenResponses returns responses with status 200 and a body that break HTTP, by what is wrong. Their connection stays open.
func BrokenResponses(body string) map[string]string {
	rest := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	return map[string]string{
		"status 000":                     "HTTP/1.1 000 OK\r\n" + rest,
		"status 600":                     "HTTP/1.1 600 OK\r\n" + rest,
		"switched protocols":             "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + body,
		"name with a blank":              "HTTP/1.1 200 OK\r\nX A: 1\r\n" + rest,
		"name that ends in a blank":      "HTTP/1.1 200 OK\r\nX-A : 1\r\n" + rest,
		"name with a control byte":       "HTTP/1.1 200 OK\r\nX\x01A: 1\r\n" + rest,
		"folded line":                    "HTTP/1.1 200 OK\r\nX-A: 1\r\n 2\r\n" + rest,
		"interim head with a blank":      "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"length and chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
		"chunks in the old version":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
		"malformed chunk":                chunked + "x\r\n",
		"trailer whose name has a blank": chunked + "0\r\nX A: 1\r\n\r\n",
	}
}

package verifier

import "net/http"

// WithoutRedirects returns a copy of the client that does not follow redirections: they are answers. The answer to
// the further request would say nothing of the first one.
func WithoutRedirects(client *http.Client) *http.Client {
	c := *client
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

	return &c
}

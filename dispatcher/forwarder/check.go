package forwarder

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// Check returns the organisation that sends a request whose body has not been read, or the failure with which
// Serve would refuse it whatever its body is. It need not be read then.
func (f *Forwarder) Check(
	request *carawaybeam.ClientRequest,
) (carawaybeam.OrganisationID, *carawaybeam.RequestError) {
	head := *request
	// What identifies the request among others is not needed yet.
	head.Body, head.Parts = nil, nil
	p, failure := f.identify(time.Now(), &head)
	return p.organisation, failure
}

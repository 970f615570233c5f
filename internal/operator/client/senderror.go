package client

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
)

// classifySendError wraps an error of http.Client.Do in ErrUnreachable if the request
// was certainly not sent: the dial failed, the certificate of the instance was not
// accepted, or the other end does not use TLS. It wraps every other error in
// ErrNoResponse, as the instance may have received the request.
func classifySendError(err error) error {
	var (
		op     *net.OpError
		cert   *tls.CertificateVerificationError
		record tls.RecordHeaderError
	)
	if errors.As(err, &op) && op.Op == "dial" || errors.As(err, &cert) || errors.As(err, &record) {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrNoResponse, err)
}

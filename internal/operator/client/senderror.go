package client

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
)

// classifySendError wraps an error of http.Client.Do in ErrUnreachable if the
// request was certainly not sent (the dial or the TLS handshake failed), and otherwise in
// ErrNoResponse, as the instance may have received it.
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

package client

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
)

// classifySendError tells a request that was certainly not sent from one that may have arrived.
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

package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

// MinTokenBytes is the minimum length of a token in bytes. A token of 16 random bytes
// cannot be guessed.
const MinTokenBytes = 16

// ReadToken reads a token from a file and trims the white space around it. It
// rejects tokens shorter than MinTokenBytes, without showing them in the error.
func ReadToken(path string) (string, error) {
	b, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return "", fmt.Errorf("settings: read token: %w", err)
	}
	token := strings.TrimSpace(string(b))
	if len(token) < MinTokenBytes {
		return "", fmt.Errorf("settings: the token in %s has %d bytes, expected at least %d", path, len(token), MinTokenBytes)
	}
	return token, nil
}

// OperatorTokens returns the names of the operators by the SHA-256 hash of their
// token. It reads the token files, and returns an error if a token cannot be read, is
// shorter than MinTokenBytes or belongs to two operators. The settings must have passed
// Check.
func (d *Daemon) OperatorTokens() (map[[sha256.Size]byte]string, error) {
	tokens := make(map[[sha256.Size]byte]string, len(d.Operators))
	for _, o := range d.Operators {
		var sum [sha256.Size]byte
		if o.TokenFile != "" {
			token, err := ReadToken(o.TokenFile)
			if err != nil {
				return nil, fmt.Errorf("settings: operator %s: %w", o.Name, err)
			}
			sum = sha256.Sum256([]byte(token))
		} else if _, err := hex.Decode(sum[:], []byte(o.TokenSHA256)); err != nil {
			return nil, fmt.Errorf("settings: operator %s: decode token_sha256: %w", o.Name, err)
		}
		if other, ok := tokens[sum]; ok {
			return nil, fmt.Errorf("settings: operators %s and %s have the same token", other, o.Name)
		}
		tokens[sum] = o.Name
	}
	return tokens, nil
}

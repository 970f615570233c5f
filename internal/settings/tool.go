package settings

import "time"

// Tool holds the settings of the command-line tool.
type Tool struct {
	// Address is the IP address and port of the operator listener of any instance. Default 127.0.0.1:7004.
	Address string `json:"address"`
	// TokenFile is the path of a file with the operator's token.
	TokenFile string `json:"token_file"`
	// TLS configures the connection to the instance. Mode "files" requires ca_file; cert_file and key_file
	// are needed only if the listener requires client certificates. Default mode "plain".
	TLS TLS `json:"tls"`
	// Output is the output format, text or json. Default text.
	Output string `json:"output"`
	// Timeout is the time limit of one call of the operator API. Default 10s.
	Timeout Duration `json:"timeout"`
	// WaitTimeout is the time limit for a table version to become active. Default 30s.
	WaitTimeout Duration `json:"wait_timeout"`
	// ConfirmShare is the fraction of a service's capacity, from 0 to 1, above which
	// a change that removes capacity requires a confirmation. Default 0.25.
	ConfirmShare float64 `json:"confirm_share"`
}

// Defaults of the tool.
const (
	defaultToolAddress  = "127.0.0.1:7004"
	defaultToolTimeout  = Duration(10 * time.Second)
	defaultWaitTimeout  = Duration(30 * time.Second)
	defaultConfirmShare = 0.25
)

// DefaultTool returns the default settings of the command-line tool.
func DefaultTool() *Tool {
	return &Tool{
		Address: defaultToolAddress, Output: "text", TLS: TLS{Mode: ModePlain},
		Timeout: defaultToolTimeout, WaitTimeout: defaultWaitTimeout, ConfirmShare: defaultConfirmShare,
	}
}

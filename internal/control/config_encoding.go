package control

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/settings"
)

// ConfigEncoding is the class of errors in encoding a configuration for a message
// or decoding it.
var ConfigEncoding = errs.Class("configuration encoding")

// maxConfigBytes limits the size of a decompressed configuration. It is twice the
// limit of the platform.
const maxConfigBytes = 2 << 20

// newConfigMessage returns the message that carries a configuration, compressed
// once for all receivers.
func newConfigMessage(cfg *settings.Config) (*Config, error) {
	compressed, err := compressConfig(cfg)
	if err != nil {
		return nil, err
	}
	return &Config{Value: cfg, compressed: compressed}, nil
}

// compressConfig encodes and compresses a configuration. Presets differ little
// from one another, so they compress well, and each change is sent to all
// instances.
func compressConfig(cfg *settings.Config) ([]byte, error) {
	encoded, err := cbor.Marshal(cfg)
	if err != nil {
		return nil, ConfigEncoding.Wrap(err)
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, ConfigEncoding.Wrap(err)
	}
	// Writes to a bytes.Buffer return no errors.
	_, _ = w.Write(encoded)
	_ = w.Close()
	return compressed.Bytes(), nil
}

// MarshalCBOR implements cbor.Marshaler. A configuration is encoded as a byte
// string with its compressed form, a request for one as an empty byte string.
func (c Config) MarshalCBOR() ([]byte, error) {
	switch {
	case c.Value == nil:
		return cbor.Marshal([]byte{})
	case c.compressed != nil:
		return cbor.Marshal(c.compressed)
	}
	compressed, err := compressConfig(c.Value)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(compressed)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (c *Config) UnmarshalCBOR(data []byte) error {
	var compressed []byte
	if err := cbor.Unmarshal(data, &compressed); err != nil {
		return ConfigEncoding.Wrap(err)
	}
	c.Value = nil
	if len(compressed) == 0 {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(compressed))
	encoded, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return ConfigEncoding.Wrap(err)
	}
	if len(encoded) > maxConfigBytes {
		return ConfigEncoding.New("decompressed configuration exceeds the limit of %d bytes", maxConfigBytes)
	}
	var value settings.Config
	if err := cbor.Unmarshal(encoded, &value); err != nil {
		return ConfigEncoding.Wrap(err)
	}
	c.Value = &value
	return nil
}

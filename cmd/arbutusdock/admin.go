package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

const (
	adminTimeout      = 5 * time.Second
	maxAdminBodyBytes = 64 << 20 // enough for the state of an instance with 2,500 members and all its targets
)

// getAdmin sends a GET request for path to the admin interface at address and
// decodes the JSON response into body.
func getAdmin(address, path string, values url.Values, body any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	requestURL := (&url.URL{Scheme: "http", Host: address, Path: path, RawQuery: values.Encode()}).String()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return eris.Wrapf(err, "admin interface %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "admin interface %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAdminBodyBytes+1))
	if err != nil {
		return eris.Wrapf(err, "admin interface %s: read body", address)
	}
	if len(data) > maxAdminBodyBytes {
		return eris.Errorf("admin interface %s: body exceeds %d bytes", address, maxAdminBodyBytes)
	}
	if response.StatusCode != http.StatusOK {
		var errorBody struct{ Error string }
		_ = json.Unmarshal(data, &errorBody) // without a valid body, only the status is reported
		return eris.Errorf("admin interface %s: status %d %s", address, response.StatusCode, errorBody.Error)
	}
	return eris.Wrapf(json.Unmarshal(data, body), "admin interface %s: decode body", address)
}

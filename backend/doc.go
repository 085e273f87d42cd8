// Package backend is the HTTP/1.1 client for one backend server. Client sends
// callers' requests and reports at which point a failed request failed. Control
// sends the control commands of docs/design.md section 6.4.
package backend

#pragma once

#include "runtime_p.h"

namespace peridotramp {

/// Checks what the parser accepts although it leaves open where a message ends or to whom it is addressed (RFC 9112,
/// sections 3.2 and 6). The only transfer coding that is accepted is a single `chunked`. Errors: `not_supported` of the
/// generic category for a transfer coding that is not implemented, and parse errors for everything else.
boost::system::error_code checkRequestHead(const http::request_header<>& head);

/// Like `checkRequestHead`, for the transfer coding of a response; all errors are parse errors.
boost::system::error_code checkResponseHead(const http::response_header<>& head);

} // namespace peridotramp

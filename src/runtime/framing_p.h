#pragma once

#include "runtime_p.h"

namespace peridotramp {

/// Checks what the parser accepts although it leaves open where a message ends or to whom it is addressed (RFC 9112,
/// sections 3.2 and 6). The only transfer coding that is accepted is a single `chunked`. Errors: `not_supported` of the
/// generic category for a transfer coding that is not implemented, and parse errors for everything else.
boost::system::error_code checkRequestHead(const http::request_header<>& head);

/// Like `checkRequestHead`, for the transfer coding of a response; all errors are parse errors.
boost::system::error_code checkResponseHead(const http::response_header<>& head);

/// Whether a header field is continued on a line that begins with a blank (RFC 9112, section 5.2). The parser joins
/// such lines, so that a field whose name begins with a blank becomes a part of the value before it. `bytes` are the
/// bytes from the start of a line of the head on, and may go on after its end.
bool hasContinuationLine(std::string_view bytes);

} // namespace peridotramp

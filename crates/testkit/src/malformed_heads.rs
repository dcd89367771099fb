//! Parts of response heads that HTTP does not allow (RFC 9110, sections 5.1 and 15; RFC 9112, sections 4 and 5).

/// Status lines without a status, or with one that is not a number of three digits from 200 on.
pub const STATUS_LINES: [&str; 16] = [
    "HTTP/1.1 000 Trouble",
    "HTTP/1.1 000",
    "HTTP/1.1 00 Trouble",
    "HTTP/1.1 0 Trouble",
    "HTTP/1.1 099 Trouble",
    "HTTP/1.1 001 Trouble",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 199 Trouble",
    "HTTP/1.1 OK",
    "HTTP/1.1",
];

/// Lines of a field whose name is not a token, or without a colon right behind it.
pub const FIELD_LINES: [&[u8]; 18] = [
    b"x odd: 1\r\n",
    b"x\todd: 1\r\n",
    b"x\0odd: 1\r\n",
    b"x\x01odd: 1\r\n",
    b"x\x1bodd: 1\r\n",
    b"x\x7fodd: 1\r\n",
    b"x\xffodd: 1\r\n",
    b"x(odd): 1\r\n",
    b"\x01: 1\r\n",
    b": 1\r\n",
    b"odd\r\n",
    b"x-odd : 1\r\n",
    b" x-odd: 1\r\n",
    b"content-length : 3\r\n",
    b"content length: 3\r\n",
    b"transfer-encoding : chunked\r\n",
    b"transfer encoding: chunked\r\n",
    b"x-odd\r: 1\r\n",
];

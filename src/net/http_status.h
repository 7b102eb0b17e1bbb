#ifndef DY_NET_HTTP_STATUS_H
#define DY_NET_HTTP_STATUS_H

/**
 * NAME
 *   http_status - HTTP status codes that are used to classify answers
 */

enum
{
  DY_HTTP_FIRST_FINAL = 200, /* start of the range of answers that are not interim */
  DY_HTTP_OK = 200,
  DY_HTTP_NO_CONTENT = 204,
  DY_HTTP_LAST_SUCCESS = 299, /* end of the range of successes */
  DY_HTTP_NOT_MODIFIED = 304,
  DY_HTTP_FORBIDDEN = 403,
  DY_HTTP_NOT_FOUND = 404,
  DY_HTTP_REQUEST_TIMEOUT = 408,
  DY_HTTP_CONFLICT = 409,
  DY_HTTP_GONE = 410,
  DY_HTTP_PRECONDITION_FAILED = 412,
  DY_HTTP_MISDIRECTED = 421,
  DY_HTTP_TOO_MANY_REQUESTS = 429,
  DY_HTTP_SERVER_ERROR = 500, /* start of the range of server errors */
  DY_HTTP_UNAVAILABLE = 503,
  DY_HTTP_LAST_VALID = 599, /* end of the range of status codes */
};

#endif

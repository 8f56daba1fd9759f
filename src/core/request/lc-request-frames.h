/* lc-request-frames: the frame types of the request plane; messages in proto/lc-request.proto. */
#ifndef LC_REQUEST_FRAMES_H
#define LC_REQUEST_FRAMES_H

typedef enum
{
  /* balancer -> agent */
  LC_FRAME_ATTEMPT_HEAD = 400,
  LC_FRAME_ATTEMPT_BODY = 401,
  LC_FRAME_CANCEL = 402,
  /* agent -> balancer */
  LC_FRAME_ANSWER_HEAD = 410,
  LC_FRAME_ANSWER_BODY = 411,
  LC_FRAME_REFUSE = 412,
  LC_FRAME_LOAD = 413,
  /* agent -> agent */
  LC_FRAME_CLAIM = 420,
  LC_FRAME_CLAIM_ANSWER = 421,
  LC_FRAME_CLAIM_RELEASE = 422,
  LC_FRAME_CLAIM_READ = 423,
  LC_FRAME_CLAIM_READ_ANSWER = 424,
  /* only in the claim file: lc-claim-file.h */
  LC_FRAME_CLAIM_FILE_HEAD = 430,
  LC_FRAME_CLAIM_FILE_ENTRY = 431,
} LcRequestFrameType;

enum
{
  LC_REQUEST_PART_BYTES = 256 << 10, /* bytes of a body per frame */
  LC_REQUEST_MAX_BODY = 16 << 20,    /* bytes of a request's or an answer's body */
  LC_REQUEST_MAX_HEADERS = 100,
  LC_REQUEST_READ_RECORDS = 4096, /* claim records per frame */
};

#endif /* LC_REQUEST_FRAMES_H */

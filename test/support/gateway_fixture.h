#ifndef TEST_SUPPORT_GATEWAY_FIXTURE_H
#define TEST_SUPPORT_GATEWAY_FIXTURE_H

/**
 * NAME
 *   gateway_fixture - a gateway in the test's own process
 *
 * DESCRIPTION
 *   The event loop is in the test's hands: the test can change what the router knows, or hold the
 *   loop up, between any two turns. Endpoints are stand-ins on loopback. The routes of host
 *   h.example are, by path prefix, all with a target of 50 ms and a time limit of 20 s:
 *     /      non-idempotent, one attempt
 *     /ok/   idempotent, two attempts; /ok1/ one attempt
 *     /s/    streaming, one attempt
 *     /r1/   streaming, resumable, one attempt; /r2/ two, /r3/ three attempts
 */

#include "services/gateway/gateway.h"
#include "services/origins.h"

enum
{
  FIXTURE_N_ENDPOINTS = 3,
  FIXTURE_N_NEAR = 2, /* of them, in the data centre of the gateway, which prefers them */
};

typedef struct
{
  char *address;
  DyHttpServer server;
  int n_requests;
  const char *load;   /* X-Worker-Load of its answers; NULL: none */
  int64_t hold_up_us; /* time for which a request to the endpoint holds up the loop of the test */
} FixtureEndpoint;

typedef struct
{
  DyKernel kernel;
  DySettings settings;
  DyPlatform platform;
  DyBudgets budgets;
  DyPeers peers;               /* has no other router */
  DyRegistration registration; /* of a router that has not run before */
  DyDirectory directory;
  DyPartBlocks part_blocks; /* knows of no crash */
  DyRequestBlocks request_blocks;
  DyEndpointLimits limits;   /* knows of no limit */
  DyColdEndpoints cold;      /* is not in force */
  DyEndpointNotices notices; /* is given none */
  DyOrigins origins;         /* all endpoints have one software version */
  DyReachability reachability;
  DyShedding shedding; /* not started: off */
  DyGateway gateway;
  char *address; /* where the gateway accepts callers */
  FixtureEndpoint endpoints[FIXTURE_N_ENDPOINTS];
  int first_id; /* number in the id of the first request of fixture_send() */
  /* Called with the fixture right after its gateway has taken a request; may be NULL. */
  void (*on_taken) (void *fixture);
} Fixture;

typedef struct
{
  DyHttpResult result;
  GString *head; /* "name: value" lines of the answer */
  GString *body;
  bool done;
} FixtureAnswer;

/* Starts the endpoints and the gateway, which knows none of the endpoints yet. */
void fixture_init (Fixture *fixture);
void fixture_finish (Fixture *fixture);

/* Tells the gateway of endpoint I, which serves "app" and answers all requests at once. */
void fixture_put_endpoint (Fixture *fixture, int i, bool leaving);

/* Sends N requests for TARGET at once, with ids q0, q1 and so on, each on a connection of its own,
 * and waits for their answers, which are freed with fixture_free_answers(). */
void fixture_send (Fixture *fixture, const char *target, FixtureAnswer *answers, int n);
void fixture_free_answers (FixtureAnswer *answers, int n);

#endif

#ifndef REVIEW_LAB_3_CONFIG_H
#define REVIEW_LAB_3_CONFIG_H

/* The route table of the cases: a model service, "llm", with a streaming route that may be resumed,
 * and a service, "desk", with an idempotent and a non-idempotent route. */
static const char lab_config[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"note\",\"host\":\"h.example\",\"pathPrefix\":\"/note/\",\"routeType\":"
      "\"streaming\",\"timeoutMs\":12000,\"targetLatencyMs\":400,\"gapTargetMs\":400,\"priority\":"
      "0,"
      "\"service\":\"llm\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":true},"
      "{\"name\":\"order\",\"host\":\"h.example\",\"pathPrefix\":\"/order/\",\"routeType\":"
      "\"idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\"service\":"
      "\"desk\","
      "\"maxAttempts\":2},"
      "{\"name\":\"tag\",\"host\":\"h.example\",\"pathPrefix\":\"/tag/\",\"routeType\":"
      "\"non_idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\"service\":"
      "\"desk\",\"maxAttempts\":1}],"
      "\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\",\"runtime\":{\"slots\":64,"
      "\"kvCapacity\":350683,\"stride\":6}},{\"name\":\"desk\",\"healthPath\":\"/health\"}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"station\",\"apiKeys\":[\"k1\"],\"prepaid\":100000000}]}";

#endif

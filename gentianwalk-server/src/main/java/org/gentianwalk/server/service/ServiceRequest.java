package org.gentianwalk.server.service;

/**
 * A call of a plain service.
 *
 * @param method HTTP method
 * @param pathAndQuery path within the service, beginning with a slash, and the query
 * @param contentType media type of the body, empty for none
 * @param body the body
 * @param key the request key, forwarded to the service
 */
record ServiceRequest(
        String method, String pathAndQuery, String contentType, byte[] body, String key) {}

package org.gentianwalk.core.route;

import java.util.OptionalInt;

/**
 * A team that owns API keys.
 *
 * @param name name of the team
 * @param priority rank of its requests, which overrides that of the route; empty for none
 */
public record Team(String name, OptionalInt priority) {}

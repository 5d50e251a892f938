package org.gentianwalk.core.route;

import java.util.OptionalInt;

/**
 * A team that owns keys.
 *
 * @param name its name
 * @param priority rank of its requests in place of the route's, if any
 */
public record Team(String name, OptionalInt priority) {}

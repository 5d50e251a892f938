package org.gentianwalk.server.mesh;

/**
 * The authenticated sender of a message.
 *
 * @param id identifier of the instance
 * @param incarnation start time of its process, milliseconds since the epoch
 */
public record MeshSender(String id, long incarnation) {}

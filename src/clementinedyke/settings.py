"""Validated settings of a daemon."""

from pydantic import BaseModel, ConfigDict, Field


class Settings(BaseModel):
    """Settings of ``clementinedyke serve``."""

    model_config = ConfigDict(frozen=True, extra='forbid')

    host: str = '127.0.0.1'
    port: int = Field(default=8080, ge=0, le=65535)
    platform: str = '127.0.0.1:8090'
    availability_zone: str = 'zone-a'
